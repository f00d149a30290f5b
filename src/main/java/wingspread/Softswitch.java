package wingspread;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.config.ConfigException;
import wingspread.config.NodeConfig;
import wingspread.config.SettingsParser;
import wingspread.config.SipConfig;
import wingspread.config.StormConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.ListKind;
import wingspread.control.CallControl.Settings;
import wingspread.control.ControlParameters;
import wingspread.core.Event;
import wingspread.core.GracefulShutdown;
import wingspread.core.Planner;
import wingspread.directory.Directory;
import wingspread.directory.DirectoryEntry;
import wingspread.front.jsonl.JsonlFront;
import wingspread.link.Links;
import wingspread.metrics.Metrics;
import wingspread.net.FileDescriptorBudget;
import wingspread.net.Loop;
import wingspread.net.Signals;
import wingspread.net.UnixClock;
import wingspread.record.RecordConfig;
import wingspread.record.Recorder;
import wingspread.storm.ReconnectParameters;

/** A real softswitch: creates the planner and the forwarders around it, starts them and shuts them down. */
final class Softswitch {
    private static final Logger LOG = LoggerFactory.getLogger(Softswitch.class);
    private static final int MAX_CALLS = 4_096;
    /** The maximum time after the start for which readiness waits for unresponsive exchanges. */
    private static final long READY_TIMEOUT_MICROS = 2_000_000;
    /** The interval between two checks of the next shutdown step. */
    private static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 20_000;
    /** The time before the exit in which the last messages are sent. */
    private static final long FLUSH_TIME_MICROS = 50_000;

    /** Logs the counters. The JVM does not use this signal, and a process without a handler for it ignores it. */
    private static final String COUNTERS_SIGNAL = "URG";

    private final NodeConfig config;
    private final Map<String, String> environment;
    private final Loop loop = new Loop(new UnixClock());
    private final Metrics metrics = new Metrics();
    private final Planner planner;
    private final Links links;
    private final Directory directory;
    private final JsonlFront front;
    private final Optional<SipService> sip;
    private final ServiceAdministration administration;
    private final long startedAt;
    /** Null if recording is disabled. */
    private final Recorder recorder;
    private boolean listening;
    private boolean shuttingDown;

    /**
     * Creates a softswitch that is not started.
     *
     * @param environment the environment variables, which name the configuration
     * @param sipConfig the configuration of the SIP front end; null if disabled
     * @param record the configuration of the recording of calls; null if disabled
     * @param storm the configuration of storm control; null if disabled
     */
    Softswitch(Map<String, String> environment, SipConfig sipConfig, RecordConfig record, StormConfig storm) {
        this.environment = environment;
        this.config = NodeConfig.read(environment);
        this.startedAt = loop.now();
        SettingsParser.Parsed settings = config.settings();
        ReconnectParameters reconnects = storm == null ? ReconnectParameters.OFF : storm.reconnects();
        FileDescriptorBudget descriptors = new FileDescriptorBudget(config.sockets());
        this.links = new Links(loop, settings.connectTimeoutMicros(), settings.settings().ownPlace(),
                () -> descriptors.exchangeLimit(frontConnections()), reconnects,
                new SplittableRandom(config.seed() + 1), this::post, metrics);
        this.planner = new Planner(loop::now, settings.settings(),
                ControlParameters.DEFAULTS, config.seed(), MAX_CALLS, links,
                this::unknownCallEnded, metrics, storm == null ? null : storm.storm());
        this.directory = new Directory(loop, settings.zones(), settings.kinds(), config.seed(),
                this::directoryUpdated);
        this.front = new JsonlFront(loop, settings.settings().classes(),
                () -> descriptors.callerLimit(links.openCount()), this::post, this::ready, reconnects, metrics);
        this.sip = Optional.ofNullable(sipConfig).map(c -> new SipService(loop, c, settings.settings().classes(),
                config.seed(), reconnects, this::post, metrics));
        this.administration = new ServiceAdministration(loop, planner, front, metrics,
                classNames(settings.settings()), this::started);
        this.recorder = record == null ? null : record.start(startedAt, settings.settings().ownPlace(),
                settings.settings().softswitches(), classNames(settings.settings()));
        metrics.addGauge("kept.heap-bytes", Softswitch::usedHeapBytes);
        loop.addWorker(planner);
    }

    private static long usedHeapBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static List<String> classNames(Settings settings) {
        return settings.classes().stream().map(CallClass::name).toList();
    }

    /** Starts serving calls on the event loop and returns immediately. */
    void start() throws ReflectiveOperationException {
        // Before the listener is opened, so that a SIGTERM leads to a graceful shutdown as soon as calls may arrive.
        Signals.on("TERM", () -> loop.execute(this::shutDown));
        Signals.on("INT", () -> loop.execute(this::shutDown));
        Signals.on("HUP", this::reload);
        Signals.on(COUNTERS_SIGNAL, () -> loop.execute(() -> LOG.info(metrics.toString())));
        loop.execute(() -> {
            listening = true;
            sip.ifPresent(SipService::listen);
            directory.loadCached(config.known());
            if (config.names() != null) {
                directory.setServer(config.names());
            }
            // Where operators start the next version beside this one, both listen on the address of the callers.
            boolean shared = config.control() != null;
            front.listen(config.listen(), shared).addListener((ChannelFuture future) -> {
                if (!future.isSuccess()) {
                    LOG.error("cannot listen on {}: {}", config.listen(), future.cause().getMessage());
                    System.exit(1);
                }
                LOG.info("{} is listening on {}", config.name(), config.listen());
                if (config.control() != null) {
                    administration.start(config.control());
                }
            });
        });
    }

    /** Reloads the configuration. Only the address of the directory server is applied to the running process. */
    private void reload() {
        try {
            InetSocketAddress names = NodeConfig.read(environment).names();
            if (names != null) {
                loop.execute(() -> directory.setServer(names));
            }
        } catch (ConfigException e) {
            // The file may be partially written or invalid; the configuration read before remains in effect.
            LOG.error("the old settings stay: {}", e.getMessage());
        }
    }

    private void post(Event event) {
        if (recorder != null && event instanceof Event.Offered offered) {
            recorder.offered(loop.now(), offered.request());
        }
        planner.post(event);
    }

    private int frontConnections() {
        return front.connections();
    }

    private void unknownCallEnded(String call, int cause) {
        front.onEnded(call, cause);
    }

    private void directoryUpdated(ListKind kind, List<DirectoryEntry> entries) {
        planner.post(new Event.Listed(kind, entries.stream().map(DirectoryEntry::exchange).toList()));
        links.update(entries);
        loop.requestTurn();
    }

    /** Whether callers may send calls. */
    private boolean ready() {
        return started() && !administration.isDraining();
    }

    /** Whether the softswitch has started and is not shutting down. */
    private boolean started() {
        return !shuttingDown && (links.allStarted() || loop.now() - startedAt > READY_TIMEOUT_MICROS);
    }

    /** Shuts down gracefully: answers pending calls, hands over established calls, and exits. */
    private void shutDown() {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        administration.beginShutdown();
        if (!listening) {
            LOG.info("shutting down before any call was accepted");
            System.exit(0);
        }
        GracefulShutdown shutdown = new GracefulShutdown(loop.now(),
                config.settings().settings().classes().stream().mapToLong(CallClass::deadline).max().orElse(0));
        LOG.info("shutting down: {} calls are unanswered", planner.unansweredCalls());
        planner.setAnswerDeadline(shutdown.answerDeadline());
        loop.requestTurn();
        scheduleNextStep(shutdown);
    }

    private void scheduleNextStep(GracefulShutdown shutdown) {
        loop.at(loop.now() + SHUTDOWN_CHECK_INTERVAL_MICROS, () -> {
            switch (shutdown.next(loop.now(), planner.unansweredCalls(),
                    planner.establishedCalls(front.connections() > 0), front.connections())) {
                case LEAVE -> exit();
                case HAND_OVER -> {
                    planner.refuseNewCalls();
                    planner.handOver();
                    front.sendQueuedReleases();
                    loop.flush();
                    links.close();
                    scheduleNextStep(shutdown);
                }
                case STOP_LISTENING -> {
                    front.stopListening();
                    scheduleNextStep(shutdown);
                }
                case CLOSE_UNUSED -> {
                    planner.refuseNewCalls();
                    front.closeUnused();
                    scheduleNextStep(shutdown);
                }
                case CLOSE_IDLE -> {
                    planner.refuseNewCalls();
                    front.closeIdle();
                    scheduleNextStep(shutdown);
                }
                default -> scheduleNextStep(shutdown);
            }
        });
    }

    /** Exits the process after a short delay, in which the last messages are sent. */
    private void exit() {
        // Without caller connections and without a SIP front end, no message can be in transit.
        long flushTime = front.connections() == 0 && sip.isEmpty() ? 0 : FLUSH_TIME_MICROS;
        loop.at(loop.now() + flushTime, () -> {
            front.close();
            sip.ifPresent(SipService::close);
            if (recorder != null) {
                recorder.close();
            }
            LOG.info(metrics.toString());
            System.exit(0);
        });
    }
}
