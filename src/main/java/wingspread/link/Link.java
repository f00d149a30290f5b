package wingspread.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.control.CallControl.Cause;
import wingspread.control.CallControl.Readiness;
import wingspread.control.CallControl.Report;
import wingspread.control.CallControl.Status;
import wingspread.core.Attempt;
import wingspread.core.Event;
import wingspread.directory.Listing;
import wingspread.net.CloseReason;
import wingspread.net.Loop;
import wingspread.net.MessageHandler;
import wingspread.metrics.Metrics;
import wingspread.sip.SipDecoder;
import wingspread.sip.SipMessage;
import wingspread.storm.Backoff;

/**
 * The connections to one exchange. The newest that works carries the set-ups; one that has fallen silent is
 * replaced. One is kept open at all times: the state of the group and releases arrive on it.
 */
final class Link implements MessageHandler.Owner<SipMessage> {
    private static final Logger LOG = LoggerFactory.getLogger("connection");
    private static final int MOST_CONNECTIONS = 4;
    /** A connect takes one round trip; what is said first on a connection should come in as much. */
    private static final int SILENCES = 3;
    private static final long LEAST_SILENCE = 50_000;
    private static final int MOST_WAITING = 256;
    private static final int MOST_RELEASES = 4_096;

    private final Loop loop;
    private final long number;
    private final long connectTimeout;
    private final Links all;
    private final Consumer<Event> events;
    private final Metrics metrics;
    private InetSocketAddress endpoint;
    private Readiness readiness = Readiness.READY;
    /** Connections that are up, oldest first, each with the set-ups open on it by call. */
    private final Map<Channel, Open> open = new LinkedHashMap<>();
    private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    private final ArrayDeque<SipMessage> unsentReleases = new ArrayDeque<>();
    private boolean connecting;
    private boolean retrying;
    private boolean closed;
    private boolean tried;
    private boolean told;
    private long usedAt;
    private long connectingSince;
    /** Microseconds that the last connection took to come up. */
    private long tookToConnect;
    private final Backoff backoff;
    private long branches;

    /** What is known of one connection. */
    private static final class Open {
        final Map<String, Attempt> setUps = new LinkedHashMap<>();
        final long upAt;
        long heardAt;
        boolean heard;
        boolean silent;

        Open(long now) {
            upAt = now;
            heardAt = now;
        }
    }

    Link(Loop loop, long number, InetSocketAddress endpoint, long connectTimeout, Backoff backoff,
            Links all, Consumer<Event> events, Metrics metrics) {
        this.all = all;
        this.loop = loop;
        this.number = number;
        this.endpoint = endpoint;
        this.connectTimeout = connectTimeout;
        this.backoff = backoff;
        this.events = events;
        this.metrics = metrics;
    }

    void listed(Listing listing) {
        readiness = listing.exchange().readiness();
        if (!endpoint.equals(listing.endpoint())) {
            // The exchange has moved: its old connections may belong to another by now.
            endpoint = listing.endpoint();
            open.values().forEach(connection -> connection.silent = true);
        }
        if (best() == null) {
            connect();
        }
    }

    /**
     * Whether it is known what there is to know of the exchange at a start: it has told its group's state, could not be
     * reached, or has said nothing on a connection for three times as long as that took to come up, though the state is
     * the first thing to come on one. Guards the start against an exchange that takes connections and has no state to
     * tell yet: in a fleet there is always one, and every softswitch that started waited for it.
     */
    boolean settled() {
        return told || tried || open.values().stream()
                .anyMatch(o -> loop.now() - o.upAt >= Math.max(LEAST_SILENCE, SILENCES * tookToConnect));
    }

    void close(CloseReason reason) {
        closed = true;
        failWaiting();
        List.copyOf(open.keySet()).forEach(channel -> MessageHandler.close(channel, reason));
    }

    /** Whether it holds connections, no set-up is under way on any, and nothing is to go out or there in part. */
    boolean idle() {
        return !open.isEmpty() && waiting.isEmpty() && open.entrySet().stream()
                .allMatch(e -> e.getValue().setUps.isEmpty() && e.getKey().isActive()
                        && !MessageHandler.busy(e.getKey()));
    }

    /** When a set-up was last sent; 0 for never. */
    long usedAt() {
        return usedAt;
    }

    /** Leaves its connections to other links until something is to be sent. */
    void makeRoom() {
        List.copyOf(open.keySet()).forEach(channel -> MessageHandler.close(channel, CloseReason.MADE_ROOM));
    }

    void closeIdle() {
        open.entrySet().stream().filter(e -> e.getValue().setUps.isEmpty()).skip(1).map(Map.Entry::getKey).toList()
                .forEach(channel -> MessageHandler.close(channel, CloseReason.SILENT));
    }

    // From the planner.

    void invite(Attempt attempt) {
        Channel channel = best();
        if (channel != null) {
            send(channel, attempt);
        } else if (closed || waiting.size() >= MOST_WAITING) {
            events.accept(new Event.Broken(attempt, Status.CONNECT_FAILED));
        } else {
            waiting.add(attempt);
            connect();
        }
    }

    private void send(Channel channel, Attempt attempt) {
        open.get(channel).setUps.put(attempt.request().id(), attempt);
        usedAt = loop.now();
        long left = (attempt.deadline() - loop.now()) / 1_000;
        metrics.count("sent.INVITE");
        write(channel, request("INVITE", attempt).with("X-Tier", attempt.request().className())
                .with("X-Deadline", Long.toString(Math.max(1, left)))
                .withBody(attempt.request().description()));
    }

    private SipMessage request(String method, Attempt attempt) {
        return dialog(method, attempt.request().number(), attempt.request().id(), attempt.index() + 1L,
                branch(attempt));
    }

    private static String branch(Attempt attempt) {
        return "z9hG4bK" + attempt.request().id() + "-" + attempt.index();
    }

    private static SipMessage dialog(String method, String called, String call, long cseq, String branch) {
        return SipMessage.request(method, "sip:" + called + "@net")
                .with("Via", "SIP/2.0/TCP wingspread;branch=" + branch)
                .with("Max-Forwards", "70")
                .with("From", "<sip:wingspread@net>;tag=" + call)
                .with("To", "<sip:" + called + "@net>")
                .with("Call-ID", call)
                .with("CSeq", cseq + " " + method);
    }

    void withdraw(Attempt attempt) {
        if (waiting.remove(attempt)) {
            return;
        }
        for (Map.Entry<Channel, Open> entry : open.entrySet()) {
            Open connection = entry.getValue();
            if (connection.setUps.remove(attempt.request().id(), attempt)) {
                metrics.count("sent.CANCEL");
                write(entry.getKey(), request("CANCEL", attempt));
                replaceIfSilent(connection, attempt);
                return;
            }
        }
    }

    /**
     * Guards against a machine that vanished, or was cut off for a while: its connections stay open and silent
     * for ever, and releases are lost on them. Where nothing has come since a set-up was sent a while ago,
     * another connection is tried beside the old one.
     */
    private void replaceIfSilent(Open connection, Attempt attempt) {
        if (loop.now() >= attempt.sentAt() + connectTimeout / 2 && connection.heardAt <= attempt.sentAt()) {
            connection.silent = true;
            LOG.info("exchange {} {} has fallen silent: nothing since {} ms, call {} unanswered", number, endpoint,
                    (loop.now() - connection.heardAt) / 1_000, attempt.request().id());
            // Even where another one works: releases of calls set up on the silent one are said again on a new one.
            connect();
        }
    }

    /** Releases a call; guards against a lost release, which would hold circuits: it waits for a connection. */
    void release(String call, int cause) {
        SipMessage bye = dialog("BYE", "call", call, 1_000, "z9hG4bK" + call + "-bye" + branches++)
                .with("Reason", "Q.850;cause=" + cause);
        metrics.count("sent.BYE");
        Channel channel = anyOpen();
        if (channel != null) {
            write(channel, bye);
        } else if (!closed && unsentReleases.size() < MOST_RELEASES) {
            unsentReleases.add(bye);
            connect();
        }
    }

    // Connections.

    /** The newest connection that is not silent, or null. */
    private Channel best() {
        Channel best = null;
        for (Map.Entry<Channel, Open> entry : open.entrySet()) {
            if (!entry.getValue().silent && entry.getKey().isActive()) {
                best = entry.getKey();
            }
        }
        return best;
    }

    private Channel anyOpen() {
        Channel best = best();
        if (best != null) {
            return best;
        }
        return open.keySet().stream().filter(Channel::isActive).findFirst().orElse(null);
    }

    private void connect() {
        if (connecting || closed || open.size() >= MOST_CONNECTIONS) {
            return;
        }
        if (!all.enters(!waiting.isEmpty() || !unsentReleases.isEmpty())) {
            tried = true;
            failWaiting();
            if (!unsentReleases.isEmpty()) {
                retryLater();
            }
            return;
        }
        connecting = true;
        connectingSince = loop.now();
        metrics.count("sent.connects");
        new Bootstrap().group(loop.group()).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1_000))
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("exchange " + number, new SipDecoder(),
                                Link.this));
                    }
                })
                .connect(endpoint)
                .addListener((ChannelFuture f) -> connected(f));
    }

    private void connected(ChannelFuture f) {
        connecting = false;
        if (!f.isSuccess()) {
            all.left();
            tried = true;
            CloseReason reason = f.cause() instanceof ConnectTimeoutException ? CloseReason.CONNECT_TIMEOUT
                    : f.cause() instanceof ConnectException ? CloseReason.REFUSED : CloseReason.RESET;
            LOG.info("exchange {} {} ended {}", number, endpoint, reason);
            failWaiting();
            if (reason == CloseReason.REFUSED && open.isEmpty()) {
                // A refused connection proves that the process is down: what stood through it is cut. One that
                // is reset or does not come up proves nothing of the kind.
                events.accept(new Event.Died(number));
            }
            retryLater();
            return;
        }
        if (closed) {
            all.left();
            f.channel().close();
            return;
        }
        tookToConnect = loop.now() - connectingSince;
        for (Map.Entry<Channel, Open> old : List.copyOf(open.entrySet())) {
            if (old.getValue().silent) {
                MessageHandler.close(old.getKey(), CloseReason.SILENT);
            }
        }
        open.put(f.channel(), new Open(loop.now()));
        LOG.info("exchange {} {} connected in {} ms, {} open, {} set-ups wait", number, endpoint,
                tookToConnect / 1_000, open.size(), waiting.size());
        while (!unsentReleases.isEmpty()) {
            write(f.channel(), unsentReleases.remove());
        }
        while (!waiting.isEmpty()) {
            Attempt attempt = waiting.remove();
            // Guards the drain rule: the list may have changed while the connection was coming up.
            if (readiness != Readiness.READY) {
                events.accept(new Event.Broken(attempt, Status.CONNECT_FAILED));
            } else if (attempt.out()) {
                send(f.channel(), attempt);
            }
        }
    }

    private void failWaiting() {
        while (!waiting.isEmpty()) {
            events.accept(new Event.Broken(waiting.remove(), Status.CONNECT_FAILED));
        }
    }

    private void retryLater() {
        if (retrying || closed) {
            return;
        }
        retrying = true;
        long wait = backoff.next();
        LOG.info("exchange {} {} is connected to again in {} ms", number, endpoint, wait / 1_000);
        loop.at(loop.now() + wait, () -> {
            retrying = false;
            if (best() == null) {
                connect();
            }
        });
    }

    private void write(Channel channel, SipMessage message) {
        MessageHandler.write(channel, message.encode());
        loop.touch(channel);
    }

    @Override
    public void ended(Channel channel, CloseReason reason) {
        Open connection = open.remove(channel);
        if (connection == null) {
            return;
        }
        all.left();
        for (Attempt attempt : new ArrayList<>(connection.setUps.values())) {
            events.accept(new Event.Broken(attempt, Status.RESET));
        }
        if (!open.isEmpty() || reason == CloseReason.MADE_ROOM) {
            return;
        }
        if (connection.heard) {
            connect();
        } else {
            // Guards against an exchange that takes connections and closes them unheard, as one that holds as many as
            // it can does: all softswitches would connect again and again without a pause.
            retryLater();
        }
    }

    // From the exchange.

    @Override
    public void received(Channel channel, SipMessage message) {
        Open connection = open.get(channel);
        if (connection == null) {
            return;
        }
        connection.heardAt = loop.now();
        connection.silent = false;
        if (!connection.heard) {
            connection.heard = true;
            backoff.reset();
        }
        if (!message.isRequest()) {
            response(channel, connection, message);
            return;
        }
        Report report = Gauges.parse(message.header("X-Gauges"));
        switch (message.method()) {
            case "NOTIFY" -> {
                told = true;
                events.accept(new Event.Reported(number, report));
            }
            case "BYE" -> {
                write(channel, message.reply(200, "OK"));
                events.accept(new Event.Released(number, message.callId(), cause(message), report));
            }
            case "ACK" -> { }
            default -> write(channel, message.reply(405, "Method Not Allowed"));
        }
    }

    private static int cause(SipMessage message) {
        String cause = SipMessage.parameter(message.header("Reason"), "cause");
        return cause == null ? 16 : (int) Math.max(0, SipMessage.number(cause));
    }

    private void response(Channel channel, Open connection, SipMessage message) {
        if (!message.cseqMethod().equals("INVITE") || message.status() < 200) {
            return;
        }
        String call = message.callId();
        Attempt attempt = connection.setUps.remove(call);
        metrics.count("taken." + message.status());
        String called = attempt == null ? "call" : attempt.request().number();
        SipMessage ack = dialog("ACK", called, call, message.cseq(),
                attempt == null ? "z9hG4bK" + call + "-ack" + branches++ : branch(attempt));
        write(channel, ack);
        if (message.status() < 300) {
            events.accept(new Event.Answered(number, call, message.body()));
        } else {
            events.accept(new Event.Rejected(number, call, status(message.status()),
                    cause(message.header("X-Outcome")), Gauges.parse(message.header("X-Gauges"))));
        }
    }

    private static Status status(int code) {
        return switch (code) {
            case 503 -> Status.FULL;
            case 480 -> Status.MOOT;
            case 504 -> Status.RESET;
            case 487 -> Status.CANCELLED;
            default -> Status.ERROR;
        };
    }

    private static Cause cause(String note) {
        return switch (note) {
            case "blocked" -> Cause.NO_CIRCUIT;
            case "bounced" -> Cause.TANDEM_BLOCKED;
            case "far_swamped" -> Cause.BEYOND_FULL;
            case "swamped" -> Cause.PROCESSOR_FULL;
            case "occupied" -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
    }
}
