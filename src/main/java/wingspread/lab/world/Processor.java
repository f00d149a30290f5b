package wingspread.lab.world;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;
import wingspread.lab.sim.VirtualTime;

/**
 * The processor of an exchange: a single server that executes one job after the other. Work is given in microseconds
 * of a warm processor; slowness and a cold start lengthen a job when it starts. Answers and releases take priority over
 * new set-ups if the scenario says so. The queues have no limit of their own: the exchange rejects set-ups beyond the
 * maximum wait, and the remaining work is limited by the number of calls in progress.
 */
final class Processor {
    /** A queued job; {@code done} runs when it has completed. */
    private record Job(double work, Runnable done) { }

    private final VirtualTime time;
    private final boolean answersFirst;
    private final ArrayDeque<Job> answers = new ArrayDeque<>();
    private final ArrayDeque<Job> setUps = new ArrayDeque<>();
    private final LongConsumer workListener;
    private double slowness = 1;
    private double initialCapacity = 1;
    private long startedAt;
    private long coldDuration;
    private boolean down;
    private boolean hung;
    private boolean busy;
    private long busyUntil;
    private double queuedWork;
    /** Incremented when the process stops, so that a job of an earlier process never completes. */
    private int generation;

    /** Creates a warm processor; {@code workListener} receives the work of each completed job in microseconds. */
    Processor(VirtualTime time, boolean answersFirst, LongConsumer workListener) {
        this.time = time;
        this.answersFirst = answersFirst;
        this.workListener = workListener;
    }

    /** Submits the work of a new set-up or of examining a call, in microseconds of a warm processor. */
    void submitSetUp(double work, Runnable done) {
        submit(setUps, work, done);
    }

    /** Submits the work of an answer, rejection or release, in microseconds of a warm processor. */
    void submitAnswer(double work, Runnable done) {
        submit(answersFirst ? answers : setUps, work, done);
    }

    private void submit(ArrayDeque<Job> queue, double work, Runnable done) {
        if (down) {
            return;
        }
        queue.add(new Job(work, done));
        queuedWork += work;
        if (!busy && !hung) {
            startNextJob();
        }
    }

    private void startNextJob() {
        Job job = answers.isEmpty() ? setUps.poll() : answers.poll();
        if (job == null) {
            busy = false;
            return;
        }
        busy = true;
        queuedWork -= job.work;
        long duration = Math.max(1, Math.round(job.work * slowness / capacity()));
        busyUntil = time.getAsLong() + duration;
        int startedGeneration = generation;
        time.scheduleAt(busyUntil, () -> {
            if (startedGeneration == generation) {
                workListener.accept(Math.round(job.work));
                job.done.run();
                if (startedGeneration == generation) {
                    resume();
                }
            }
        });
    }

    private void resume() {
        if (hung) {
            busy = false;
        } else {
            startNextJob();
        }
    }

    /** Returns how long a new job would wait, in microseconds. */
    double waitTime() {
        long remaining = busy ? Math.max(0, busyUntil - time.getAsLong()) : 0;
        return remaining + Math.max(0, queuedWork) * slowness / capacity();
    }

    /** Returns the number of jobs that wait. */
    int queued() {
        return answers.size() + setUps.size();
    }

    /** Returns the share of the warm capacity, 0 to 1, that is available since the last start; ignores slowness. */
    double capacity() {
        long uptime = time.getAsLong() - startedAt;
        return uptime >= coldDuration ? 1 : initialCapacity + (1 - initialCapacity) * uptime / coldDuration;
    }

    boolean cold() {
        return time.getAsLong() - startedAt < coldDuration;
    }

    double slowness() {
        return slowness;
    }

    /** Sets the factor by which jobs that start from now on take longer. */
    void setSlowness(double factor) {
        slowness = factor;
    }

    boolean down() {
        return down;
    }

    boolean hung() {
        return hung;
    }

    /** Suspends the processor after its current job, or resumes it with the queued jobs. */
    void setHung(boolean newHung) {
        hung = newHung;
        if (!newHung && !busy && !down) {
            startNextJob();
        }
    }

    /** Stops the process and discards its current and queued jobs. */
    void stop() {
        down = true;
        busy = false;
        generation++;
        answers.clear();
        setUps.clear();
        queuedWork = 0;
    }

    /**
     * Starts the process again, cold.
     *
     * @param initialShare share of the capacity at the start, which grows linearly to 1
     * @param warmUpMicros time until the full capacity is available
     */
    void start(double initialShare, long warmUpMicros) {
        down = false;
        hung = false;
        initialCapacity = initialShare;
        startedAt = time.getAsLong();
        coldDuration = warmUpMicros;
    }
}
