package wingspread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import wingspread.metrics.Metrics;
import wingspread.storm.ReconnectFigures;

/** Callers who all connect at once, on sockets. */
class NewcomersTest {
    private static final int MANY = 300;
    /** A listener may spend a hundredth of the loop's time, so that few are let in at once. */
    private static final ReconnectFigures TIGHT = new ReconnectFigures(0.01, 1, 5, 50, 1, 1, 0);

    private final Loop loop = new Loop(new UnixClock());
    private final Metrics metrics = new Metrics();
    private final List<Socket> sockets = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        loop.stop();
    }

    private long counted(String name) throws Exception {
        return CompletableFuture.supplyAsync(() -> metrics.value(name), loop::execute).get(20, TimeUnit.SECONDS);
    }

    @Test
    void allAreTakenInThoughFewAtATime() throws Exception {
        CountDownLatch taken = new CountDownLatch(MANY);
        Channel listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .handler(new Newcomers(loop, "test", TIGHT, metrics))
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public boolean isSharable() {
                        return true;
                    }

                    @Override
                    public void channelActive(ChannelHandlerContext ctx) {
                        taken.countDown();
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        for (int i = 0; i < MANY; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        assertTrue(taken.await(30, TimeUnit.SECONDS), taken.getCount() + " were never taken in");
        assertEquals(MANY, counted("taken.connections"));
        long pauses = counted("taken.connection-pauses");
        // The kernel hands out at most sixteen between two looks at the budget.
        assertTrue(pauses >= MANY / 16 - 1, pauses + " pauses");
        listener.close().sync();
    }
}
