package wingspread.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.SslHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.metrics.Metrics;
import wingspread.storm.LoopBudget;
import wingspread.storm.ReconnectParameters;
import wingspread.storm.SurgeDetector;

/**
 * The first handler of a listener: measures how much time of the event loop new connections take, and pauses accepting
 * while their budget is exhausted. Meanwhile new connections wait in the listener's accept queue in the kernel; if that
 * is full, the client's TCP stack retransmits its SYN.
 */
public final class AcceptThrottle extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("connection");
    private static final long SURGE_CHECK_INTERVAL_MICROS = 250_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private final Loop loop;
    private final String kind;
    private final LoopBudget loopBudget;
    private final SurgeDetector surgeDetector;
    private final Metrics metrics;
    private boolean paused;
    private boolean surgeCheckScheduled;
    private double peakPerSecond;
    private double maxTurnMicros;
    private double turnMicros;

    /**
     * Creates the handler of one listener.
     *
     * @param kind name of the listener in the log
     * @param reconnectParameters budget of the loop's time for new connections, and the thresholds of a surge
     */
    public AcceptThrottle(Loop loop, String kind, ReconnectParameters reconnectParameters, Metrics metrics) {
        this.loop = loop;
        this.kind = kind;
        this.loopBudget = reconnectParameters.connectionBudget(loop.now());
        this.surgeDetector = reconnectParameters.surgeDetector(loop.now());
        this.metrics = metrics;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        if (surgeDetector.recordConnection(loop.now())) {
            logSurge();
        }
        if (surgeDetector.surgeActive()) {
            peakPerSecond = Math.max(peakPerSecond, surgeDetector.perSecond(loop.now()));
        }
        metrics.count("taken.connections");
        long before = System.nanoTime();
        ctx.fireChannelRead(accepted);
        recordCost(System.nanoTime() - before);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        maxTurnMicros = Math.max(maxTurnMicros, turnMicros);
        turnMicros = 0;
        if (!loopBudget.allowsConnection(loop.now())) {
            pause(ctx.channel());
        }
    }

    private void recordCost(long nanos) {
        turnMicros += nanos / NANOS_PER_MICRO;
        loopBudget.debit(loop.now(), nanos / NANOS_PER_MICRO);
    }

    private void pause(Channel listener) {
        if (!paused) {
            paused = true;
            metrics.count("taken.connection-pauses");
            listener.config().setAutoRead(false);
            loop.at(loopBudget.nextAllowedAt(loop.now()), () -> resume(listener));
        }
    }

    private void resume(Channel listener) {
        paused = false;
        // Handshakes may have used up the budget again in the meantime.
        if (loopBudget.allowsConnection(loop.now())) {
            listener.config().setAutoRead(true);
        } else {
            pause(listener);
        }
    }

    private void logSurge() {
        long now = loop.now();
        LOG.atInfo().addKeyValue("reason", surgeDetector.surgeActive() ? "RECONNECTS_BEGAN" : "RECONNECTS_ENDED")
                .addKeyValue("connections", Math.round(surgeDetector.perSecond(now)))
                .addKeyValue("peak", Math.round(Math.max(peakPerSecond, surgeDetector.perSecond(now))))
                .addKeyValue("usual", Math.round(surgeDetector.baselinePerSecond(now)))
                .addKeyValue("dearest-turn-us", Math.round(maxTurnMicros)).log("{}: new connections per second", kind);
        maxTurnMicros = 0;
        peakPerSecond = 0;
        scheduleSurgeCheck();
    }

    private void scheduleSurgeCheck() {
        if (!surgeCheckScheduled && surgeDetector.surgeActive()) {
            surgeCheckScheduled = true;
            loop.at(loop.now() + SURGE_CHECK_INTERVAL_MICROS, () -> {
                surgeCheckScheduled = false;
                if (surgeDetector.update(loop.now())) {
                    logSurge();
                }
                scheduleSurgeCheck();
            });
        }
    }

    /** Charges the TLS handshake of a new connection to the same budget; call this before adding its SSL handler. */
    public void meterHandshake(Channel connection, SslHandler sslHandler) {
        ChannelInboundHandlerAdapter handshakeMeter = new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                long before = System.nanoTime();
                ctx.fireChannelRead(bytes);
                recordCost(System.nanoTime() - before);
            }
        };
        connection.pipeline().addLast(handshakeMeter);
        sslHandler.handshakeFuture().addListener(done -> {
            metrics.count(done.isSuccess() ? "taken.handshakes" : "taken.handshakes-failed");
            if (connection.pipeline().context(handshakeMeter) != null) {
                connection.pipeline().remove(handshakeMeter);
            }
        });
    }
}
