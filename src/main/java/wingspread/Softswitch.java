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
import wingspread.net.FileDescriptorBudget;
import wingspread.net.Loop;
import wingspread.metrics.Metrics;
import wingspread.net.Signals;
import wingspread.net.UnixClock;
import wingspread.record.RecordConfig;
import wingspread.record.Recorder;
import wingspread.storm.ReconnectParameters;

/** One real softswitch: a planner, the forwarders round it, its start and its end. */
final class Softswitch {
    private static final Logger LOG = LoggerFactory.getLogger(Softswitch.class);
    private static final int MOST_CALLS = 4_096;
    /** After the start, exchanges that say nothing are waited for so long at the most. */
    private static final long READY_AT_LATEST = 2_000_000;
    /** After SIGTERM: what comes next is looked for so often, and what is written last goes out in so long. */
    private static final long LOOK_EVERY = 20_000;
    private static final long LAST_WRITES = 50_000;

    /** Prints the counters; the JVM leaves it free, and whoever does not hear it ignores it. */
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
    private final long startedAt;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private boolean listening;
    private boolean ending;

    /** A softswitch of the configuration that these variables name. */
    Softswitch(Map<String, String> environment, SipConfig sipConfig, RecordConfig record, StormConfig storm) {
        this.environment = environment;
        this.config = NodeConfig.read(environment);
        this.startedAt = loop.now();
        SettingsParser.Parsed settings = config.settings();
        ReconnectParameters reconnects = storm == null ? ReconnectParameters.OFF : storm.reconnects();
        FileDescriptorBudget descriptors = new FileDescriptorBudget(config.sockets());
        this.links = new Links(loop, settings.connectTimeout(), settings.settings().ownPlace(),
                () -> descriptors.exchangeLimit(frontConnections()), reconnects,
                new SplittableRandom(config.seed() + 1), this::post, metrics);
        this.planner = new Planner(loop::now, settings.settings(),
                ControlParameters.DEFAULTS, config.seed(), MOST_CALLS, links,
                this::strangerOver, metrics, storm == null ? null : storm.storm());
        this.directory = new Directory(loop, settings.zones(), settings.kinds(), config.seed(), this::told);
        this.front = new JsonlFront(loop, settings.settings().classes(),
                () -> descriptors.callerLimit(links.openCount()), this::post, this::ready, reconnects, metrics);
        this.sip = Optional.ofNullable(sipConfig).map(c -> new SipService(loop, c, settings.settings().classes(),
                config.seed(), reconnects, this::post, metrics));
        this.recorder = record == null ? null : record.start(startedAt, settings.settings().ownPlace(),
                settings.settings().softswitches(), classNames(settings.settings()));
        loop.addWorker(planner);
    }

    private static List<String> classNames(Settings settings) {
        return settings.classes().stream().map(CallClass::name).toList();
    }

    /** Starts to serve; returns at once. */
    void start() throws ReflectiveOperationException {
        // Before the listener stands: SIGTERM must find what ends in good order as soon as something may be taken.
        Signals.on("TERM", () -> loop.execute(this::end));
        Signals.on("INT", () -> loop.execute(this::end));
        Signals.on("HUP", this::reload);
        Signals.on(COUNTERS_SIGNAL, () -> loop.execute(() -> LOG.info(metrics.toString())));
        loop.execute(() -> {
            listening = true;
            sip.ifPresent(SipService::listen);
            directory.loadCached(config.known());
            if (config.names() != null) {
                directory.setServer(config.names());
            }
            front.listen(config.listen()).addListener((ChannelFuture f) -> {
                if (!f.isSuccess()) {
                    LOG.error("cannot listen at {}: {}", config.listen(), f.cause().getMessage());
                    System.exit(1);
                }
                LOG.info("{} listens at {}", config.name(), config.listen());
            });
        });
    }

    /** Reads the configuration anew; of what it holds, the directory's address may change while calls go on. */
    private void reload() {
        try {
            InetSocketAddress names = NodeConfig.read(environment).names();
            if (names != null) {
                loop.execute(() -> directory.setServer(names));
            }
        } catch (ConfigException e) {
            // Guards against a file that is half written or wrong: what was read before stays in force.
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

    private void strangerOver(String call, int cause) {
        front.onEnded(call, cause);
    }

    private void told(ListKind kind, List<DirectoryEntry> listings) {
        planner.post(new Event.Listed(kind, listings.stream().map(DirectoryEntry::exchange).toList()));
        links.update(listings);
        loop.requestTurn();
    }

    private boolean ready() {
        return !ending && (links.allStarted() || loop.now() - startedAt > READY_AT_LATEST);
    }

    /** Finishes what was taken, hands over what stands, and ends. */
    private void end() {
        if (ending) {
            return;
        }
        ending = true;
        if (!listening) {
            LOG.info("ending: nothing was taken yet");
            System.exit(0);
        }
        GracefulShutdown plan = new GracefulShutdown(loop.now(),
                config.settings().settings().classes().stream().mapToLong(CallClass::deadline).max().orElse(0));
        LOG.info("ending: {} calls are unanswered", planner.unansweredCalls());
        planner.setAnswerDeadline(plan.answerDeadline());
        loop.requestTurn();
        lookAgain(plan);
    }

    private void lookAgain(GracefulShutdown plan) {
        loop.at(loop.now() + LOOK_EVERY, () -> {
            switch (plan.next(loop.now(), planner.unansweredCalls(), planner.establishedCalls(front.connections() > 0),
                    front.connections())) {
                case LEAVE -> leave();
                case HAND_OVER -> {
                    planner.refuseNewCalls();
                    planner.handOver();
                    loop.flush();
                    links.close();
                    lookAgain(plan);
                }
                case STOP_LISTENING -> {
                    front.stopListening();
                    lookAgain(plan);
                }
                case CLOSE_UNUSED -> {
                    planner.refuseNewCalls();
                    front.closeUnused();
                    lookAgain(plan);
                }
                case CLOSE_IDLE -> {
                    planner.refuseNewCalls();
                    front.closeIdle();
                    lookAgain(plan);
                }
                default -> lookAgain(plan);
            }
        });
    }

    /** Exits a moment later: what was written last has gone out by then. */
    private void leave() {
        // Over connections nothing can be on its way any longer where none is left.
        long lastWrites = front.connections() == 0 && sip.isEmpty() ? 0 : LAST_WRITES;
        loop.at(loop.now() + lastWrites, () -> {
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
