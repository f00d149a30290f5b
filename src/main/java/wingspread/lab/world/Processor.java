package wingspread.lab.world;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;
import wingspread.lab.sim.VirtualTime;

/**
 * The processor of an exchange: one line that does one piece of work after the other. Work is told in microseconds
 * of a warm processor; slowness and a cold start stretch it when it begins. Answers and releases go ahead of new
 * set-ups where the scenario says so. A waiting line has no bound of its own: set-ups past the longest wait are
 * refused by the exchange, and what remains is bounded by the calls that are up.
 */
final class Processor {
    /** Work that waits; {@code done} hears when it ended. */
    private record Job(double work, Runnable done) { }

    private final VirtualTime time;
    private final boolean answersFirst;
    private final ArrayDeque<Job> answers = new ArrayDeque<>();
    private final ArrayDeque<Job> setUps = new ArrayDeque<>();
    private final LongConsumer worked;
    private double slowness = 1;
    private double coldFrom = 1;
    private long coldSince;
    private long coldTime;
    private boolean down;
    private boolean hung;
    private boolean busy;
    private long busyUntil;
    private double waiting;
    /** Counts the starts of the process, so that work of an earlier one never ends. */
    private int life;

    /** A warm processor; {@code worked} hears of all time spent, in microseconds of a warm one. */
    Processor(VirtualTime time, boolean answersFirst, LongConsumer worked) {
        this.time = time;
        this.answersFirst = answersFirst;
        this.worked = worked;
    }

    /** New set-ups and the looking at calls wait in line. */
    void setUp(double work, Runnable done) {
        submit(setUps, work, done);
    }

    /** Answers, refusals and releases. */
    void answer(double work, Runnable done) {
        submit(answersFirst ? answers : setUps, work, done);
    }

    private void submit(ArrayDeque<Job> line, double work, Runnable done) {
        if (down) {
            return;
        }
        line.add(new Job(work, done));
        waiting += work;
        if (!busy && !hung) {
            next();
        }
    }

    private void next() {
        Job job = answers.isEmpty() ? setUps.poll() : answers.poll();
        if (job == null) {
            busy = false;
            return;
        }
        busy = true;
        waiting -= job.work;
        long took = Math.max(1, Math.round(job.work * slowness / capacity()));
        busyUntil = time.getAsLong() + took;
        int started = life;
        time.at(busyUntil, () -> {
            if (started == life) {
                worked.accept(Math.round(job.work));
                job.done.run();
                if (started == life) {
                    resume();
                }
            }
        });
    }

    private void resume() {
        if (hung) {
            busy = false;
        } else {
            next();
        }
    }

    /** How long new work would wait, in microseconds. */
    double waitTime() {
        long rest = busy ? Math.max(0, busyUntil - time.getAsLong()) : 0;
        return rest + Math.max(0, waiting) * slowness / capacity();
    }

    /** Pieces of work that wait. */
    int queued() {
        return answers.size() + setUps.size();
    }

    /** Share of the warm capacity that a start has left so far; slowness not counted. */
    double capacity() {
        long since = time.getAsLong() - coldSince;
        return since >= coldTime ? 1 : coldFrom + (1 - coldFrom) * since / coldTime;
    }

    boolean cold() {
        return time.getAsLong() - coldSince < coldTime;
    }

    double slowness() {
        return slowness;
    }

    /** Work that begins from now on takes so many times as long. */
    void slow(double factor) {
        slowness = factor;
    }

    boolean down() {
        return down;
    }

    boolean hung() {
        return hung;
    }

    /** Does nothing, or goes on with what waits. */
    void hang(boolean on) {
        hung = on;
        if (!on && !busy && !down) {
            next();
        }
    }

    /** The process dies with all that waits. */
    void die() {
        down = true;
        busy = false;
        life++;
        answers.clear();
        setUps.clear();
        waiting = 0;
    }

    /** The process starts anew, cold: at a share of its capacity that grows in a straight line to all of it. */
    void start(double from, long until) {
        down = false;
        hung = false;
        coldFrom = from;
        coldSince = time.getAsLong();
        coldTime = until;
    }
}
