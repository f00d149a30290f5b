package wingspread.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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
    /** Connections may come up late, by up to a second; the next check may begin meanwhile. */
    private static final long LONGEST_CHECK = 1_100_000;
    private static final int MOST_CHECKS = 3;
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
    /** Connections that come up for {@link #check}. */
    private int checks;
    private boolean retrying;
    private boolean closed;
    private boolean tried;
    private boolean told;
    private long usedAt;
    /** Microseconds that the last connection took to come up. */
    private long tookToConnect;
    private final Backoff backoff;
    private final ExchangeMessages messages = new ExchangeMessages();

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
        metrics.count("sent.INVITE");
        write(channel, messages.invite(attempt, attempt.deadline() - loop.now()));
    }

    void withdraw(Attempt attempt) {
        if (waiting.remove(attempt)) {
            return;
        }
        for (Map.Entry<Channel, Open> entry : open.entrySet()) {
            Open connection = entry.getValue();
            if (connection.setUps.remove(attempt.request().id(), attempt)) {
                metrics.count("sent.CANCEL");
                write(entry.getKey(), messages.cancel(attempt));
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

    /**
     * Releases a call. Guards against a lost release, which would hold circuits: where no connection is there, or only
     * such as have fallen silent, it waits for one.
     */
    void release(String call, int cause) {
        SipMessage bye = messages.bye(call, cause);
        metrics.count("sent.BYE");
        Channel channel = best();
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
        long since = loop.now();
        metrics.count("sent.connects");
        open(connectTimeout, f -> {
            connecting = false;
            connected(f, since);
        });
    }

    /**
     * Opens a connection beside those that are there, since nothing has come on them for a while: a live exchange
     * speaks first on each new one. It may come up later than others may, and takes the place of the oldest idle one,
     * which is closed before: what the exchange said on that at the same time it says again on the next.
     *
     * @return false where none can be opened now
     */
    boolean check() {
        if (closed || checks >= MOST_CHECKS) {
            return false;
        }
        if (open.size() > 1) {
            open.entrySet().stream().filter(e -> e.getValue().setUps.isEmpty()).map(Map.Entry::getKey).findFirst()
                    .ifPresent(channel -> MessageHandler.close(channel, CloseReason.REPLACED));
        }
        if (open.size() >= MOST_CONNECTIONS || !all.enters(true)) {
            return false;
        }
        checks++;
        long since = loop.now();
        metrics.count("sent.checks");
        open(Math.max(connectTimeout, LONGEST_CHECK), f -> {
            checks--;
            connected(f, since);
        });
        return true;
    }

    private void open(long timeout, ChannelFutureListener whenDone) {
        new Bootstrap().group(loop.group()).channelFactory(NioSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeout / 1_000))
                .handler(new ChannelInitializer<NioSocketChannel>() {
                    @Override
                    protected void initChannel(NioSocketChannel channel) {
                        channel.pipeline().addLast(new MessageHandler<>("exchange " + number, new SipDecoder(),
                                Link.this));
                    }
                })
                .connect(endpoint)
                .addListener(whenDone);
    }

    private void notConnected(Throwable cause) {
        all.left();
        tried = true;
        CloseReason reason = cause instanceof ConnectTimeoutException ? CloseReason.CONNECT_TIMEOUT
                : cause instanceof ConnectException ? CloseReason.REFUSED : CloseReason.RESET;
        LOG.info("exchange {} {} ended {}", number, endpoint, reason);
        Channel best = best();
        if (best != null) {
            sendWaiting(best);
            return;
        }
        failWaiting();
        if (reason == CloseReason.REFUSED && open.isEmpty()) {
            // A refused connection proves that the process is down: what stood through it is cut. One that is reset or
            // does not come up proves nothing of the kind, nor does a refusal beside a connection that has fallen
            // silent: an exchange that holds as many connections as it can may be slow as well.
            events.accept(new Event.Died(number));
        }
        retryLater();
    }

    private void connected(ChannelFuture f, long since) {
        if (!f.isSuccess()) {
            notConnected(f.cause());
            return;
        }
        if (closed) {
            all.left();
            f.channel().close();
            return;
        }
        tookToConnect = loop.now() - since;
        for (Map.Entry<Channel, Open> old : List.copyOf(open.entrySet())) {
            if (old.getValue().silent) {
                MessageHandler.close(old.getKey(), CloseReason.SILENT);
            }
        }
        open.put(f.channel(), new Open(loop.now()));
        LOG.info("exchange {} {} connected in {} ms, {} open, {} set-ups wait", number, endpoint,
                tookToConnect / 1_000, open.size(), waiting.size());
        sendReleases(f.channel());
        sendWaiting(f.channel());
    }

    /** Sends what has waited for a connection. */
    private void sendWaiting(Channel channel) {
        while (!waiting.isEmpty()) {
            Attempt attempt = waiting.remove();
            // Guards the drain rule: the list may have changed while the connection was coming up.
            if (readiness != Readiness.READY) {
                events.accept(new Event.Broken(attempt, Status.CONNECT_FAILED));
            } else if (attempt.out()) {
                send(channel, attempt);
            }
        }
    }

    private void sendReleases(Channel channel) {
        while (!unsentReleases.isEmpty()) {
            write(channel, unsentReleases.remove());
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
        boolean first = !connection.heard;
        connection.heardAt = loop.now();
        connection.silent = false;
        if (first) {
            connection.heard = true;
            backoff.reset();
        }
        sendReleases(channel);
        sendWaiting(channel);
        if (!message.isRequest()) {
            response(channel, connection, message);
            return;
        }
        Report report = Gauges.parse(message.header("X-Gauges"));
        switch (message.method()) {
            case "NOTIFY" -> {
                told = true;
                events.accept(new Event.Reported(number, report,
                        first ? connection.upAt : Event.Reported.UNSOLICITED));
            }
            case "BYE" -> {
                write(channel, message.reply(200, "OK"));
                events.accept(new Event.Released(number, message.callId(), ExchangeMessages.releaseCause(message),
                        report));
            }
            case "ACK" -> events.accept(new Event.Heard(number));
            default -> {
                events.accept(new Event.Heard(number));
                write(channel, message.reply(405, "Method Not Allowed"));
            }
        }
    }

    private void response(Channel channel, Open connection, SipMessage message) {
        if (!message.cseqMethod().equals("INVITE") || message.status() < 200) {
            events.accept(new Event.Heard(number));
            return;
        }
        String call = message.callId();
        Attempt attempt = connection.setUps.remove(call);
        metrics.count("taken." + message.status());
        write(channel, messages.ack(message, attempt));
        if (message.status() < 300) {
            events.accept(new Event.Answered(number, call, message.body()));
        } else {
            events.accept(new Event.Rejected(number, call, ExchangeMessages.status(message.status()),
                    ExchangeMessages.outcome(message.header("X-Outcome")), Gauges.parse(message.header("X-Gauges"))));
        }
    }
}
