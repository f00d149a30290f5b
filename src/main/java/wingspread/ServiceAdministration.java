package wingspread;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.admin.AdminOperations;
import wingspread.admin.AdminServer;
import wingspread.admin.ServiceStatistics;
import wingspread.admin.ServiceStatistics.ClassStatistics;
import wingspread.core.CallCounters;
import wingspread.core.Drain;
import wingspread.core.Planner;
import wingspread.front.jsonl.JsonlFront;
import wingspread.metrics.Metrics;
import wingspread.net.Loop;

/**
 * The administration of a softswitch through its second address: figures, readiness, and the drain that an operator
 * starts and ends. The event loop publishes the figures at a fixed interval, and the administrative server reads what
 * was published last, so that neither waits for the other.
 */
final class ServiceAdministration implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceAdministration.class);
    private static final long PUBLISH_INTERVAL_MICROS = 100_000;
    private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

    private final Loop loop;
    private final Planner planner;
    private final JsonlFront front;
    private final Metrics metrics;
    private final List<String> classNames;
    private final BooleanSupplier ready;
    private final Drain drain = new Drain();
    private volatile ServiceStatistics statistics = new ServiceStatistics(List.of(), 0, 0, 0, 0);
    private volatile boolean serving;
    /** Whether the last request was to send callers away; it is carried out on the event loop soon afterwards. */
    private volatile boolean quiesceRequested;
    private volatile boolean shuttingDown;

    /**
     * Creates the administration, which does not listen yet.
     *
     * @param ready whether the softswitch is ready for calls, apart from a drain
     */
    ServiceAdministration(Loop loop, Planner planner, JsonlFront front, Metrics metrics, List<String> classNames,
            BooleanSupplier ready) {
        this.loop = loop;
        this.planner = planner;
        this.front = front;
        this.metrics = metrics;
        this.classNames = classNames;
        this.ready = ready;
    }

    /** Listens on the second address. If it is not available, calls are served all the same. */
    void start(InetSocketAddress address) {
        publish();
        new AdminServer(this).listen(address).addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                LOG.info("the administrative server is listening on {}", address);
            } else {
                LOG.error("the administrative server cannot listen on {}: {}", address, bound.cause().getMessage());
            }
        });
    }

    /** Whether an operator has sent callers away. */
    boolean isDraining() {
        return drain.isDraining();
    }

    /** Leaves callers and calls to the shutdown from now on. */
    void beginShutdown() {
        shuttingDown = true;
        serving = false;
        drain.resume();
    }

    private void publish() {
        CallCounters counters = planner.counters();
        List<ClassStatistics> classes = IntStream.range(0, classNames.size())
                .mapToObj(i -> new ClassStatistics(classNames.get(i), counters.established(i), counters.refused(i),
                        counters.failed(i))).toList();
        statistics = new ServiceStatistics(classes, metrics.value("sent.INVITE"), planner.unansweredCalls(),
                planner.listedExchanges(), planner.avoidedExchanges());
        serving = ready.getAsBoolean() && !isDraining();
        loop.at(loop.now() + PUBLISH_INTERVAL_MICROS, this::publish);
    }

    // Requests, on the thread of the administrative server.

    @Override
    public boolean isServing() {
        return serving && !quiesceRequested;
    }

    @Override
    public ServiceStatistics statistics() {
        return statistics;
    }

    @Override
    public void quiesce() {
        quiesceRequested = true;
        loop.execute(() -> {
            if (!shuttingDown && !drain.isDraining()) {
                LOG.info("draining: {} calls are unanswered, {} connections of callers are open",
                        planner.unansweredCalls(), front.connections());
                drain.quiesce(loop.now());
                continueDrain();
            }
        });
    }

    @Override
    public void resume() {
        quiesceRequested = false;
        loop.execute(() -> {
            if (!shuttingDown && drain.isDraining()) {
                LOG.info("serving callers again");
                drain.resume();
                planner.acceptNewCalls();
                serving = ready.getAsBoolean();
            }
        });
    }

    private void continueDrain() {
        if (!drain.isDraining()) {
            return;
        }
        if (drain.next(loop.now()) == Drain.Step.SEND_AWAY) {
            planner.refuseNewCalls();
            front.closeUnused();
        }
        loop.at(loop.now() + DRAIN_CHECK_INTERVAL_MICROS, this::continueDrain);
    }
}
