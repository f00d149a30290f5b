package wingspread.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.SslHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.metrics.Metrics;
import wingspread.storm.LoopBudget;
import wingspread.storm.ReconnectFigures;
import wingspread.storm.SurgeDetector;

/**
 * The first handler of a listener: measures what its newcomers cost the loop and takes none in while their budget is
 * spent. Who waits does so in the kernel's queue of the listener; where that is full, the client's machine asks again.
 */
public final class Newcomers extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("connection");
    private static final long LOOK_EVERY = 250_000;
    private static final double NANOS = 1_000;

    private final Loop loop;
    private final String kind;
    private final LoopBudget budget;
    private final SurgeDetector surges;
    private final Metrics metrics;
    private boolean paused;
    private boolean looking;
    private double peak;
    private double dearestTurn;
    private double turn;

    /** For one listener; {@code kind} names it in the log. */
    public Newcomers(Loop loop, String kind, ReconnectFigures figures, Metrics metrics) {
        this.loop = loop;
        this.kind = kind;
        this.budget = figures.newcomers(loop.now());
        this.surges = figures.surges(loop.now());
        this.metrics = metrics;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        if (surges.arrived(loop.now())) {
            tell();
        }
        if (surges.surge()) {
            peak = Math.max(peak, surges.perSecond(loop.now()));
        }
        metrics.count("taken.connections");
        long before = System.nanoTime();
        ctx.fireChannelRead(accepted);
        spent(System.nanoTime() - before);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        dearestTurn = Math.max(dearestTurn, turn);
        turn = 0;
        if (!budget.allows(loop.now())) {
            pause(ctx.channel());
        }
    }

    private void spent(long nanos) {
        turn += nanos / NANOS;
        budget.spent(loop.now(), nanos / NANOS);
    }

    private void pause(Channel listener) {
        if (!paused) {
            paused = true;
            metrics.count("taken.connection-pauses");
            listener.config().setAutoRead(false);
            loop.at(budget.opensAt(loop.now()), () -> open(listener));
        }
    }

    private void open(Channel listener) {
        paused = false;
        // Handshakes may have spent more meanwhile.
        if (budget.allows(loop.now())) {
            listener.config().setAutoRead(true);
        } else {
            pause(listener);
        }
    }

    private void tell() {
        long now = loop.now();
        LOG.atInfo().addKeyValue("reason", surges.surge() ? "RECONNECTS_BEGAN" : "RECONNECTS_ENDED")
                .addKeyValue("connections", Math.round(surges.perSecond(now)))
                .addKeyValue("peak", Math.round(Math.max(peak, surges.perSecond(now))))
                .addKeyValue("usual", Math.round(surges.usualPerSecond(now)))
                .addKeyValue("dearest-turn-us", Math.round(dearestTurn)).log("{}: newcomers a second", kind);
        dearestTurn = 0;
        peak = 0;
        lookLater();
    }

    private void lookLater() {
        if (!looking && surges.surge()) {
            looking = true;
            loop.at(loop.now() + LOOK_EVERY, () -> {
                looking = false;
                if (surges.look(loop.now())) {
                    tell();
                }
                lookLater();
            });
        }
    }

    /** Charges a newcomer's handshake to the same budget: goes before the handler that does it. */
    public void meter(Channel newcomer, SslHandler handshake) {
        ChannelInboundHandlerAdapter meter = new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                long before = System.nanoTime();
                ctx.fireChannelRead(bytes);
                spent(System.nanoTime() - before);
            }
        };
        newcomer.pipeline().addLast(meter);
        handshake.handshakeFuture().addListener(done -> {
            metrics.count(done.isSuccess() ? "taken.handshakes" : "taken.handshakes-failed");
            if (newcomer.pipeline().context(meter) != null) {
                newcomer.pipeline().remove(meter);
            }
        });
    }
}
