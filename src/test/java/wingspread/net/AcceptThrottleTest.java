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
import wingspread.storm.ReconnectParameters;

/** Tests many callers that connect at the same moment, on real sockets. */
class AcceptThrottleTest {
    private static final int CONNECTION_COUNT = 300;
    /** Accepting may take 1 % of the loop's time, so that few connections are accepted at once. */
    private static final ReconnectParameters SMALL_BUDGET = new ReconnectParameters(0.01, 1, 5, 50, 1, 1, 0);

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

    private long counterValue(String name) throws Exception {
        return CompletableFuture.supplyAsync(() -> metrics.value(name), loop::execute).get(20, TimeUnit.SECONDS);
    }

    @Test
    void acceptsAllConnectionsInSmallBatches() throws Exception {
        CountDownLatch remaining = new CountDownLatch(CONNECTION_COUNT);
        Channel listener = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .handler(new AcceptThrottle(loop, "test", SMALL_BUDGET, metrics))
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public boolean isSharable() {
                        return true;
                    }

                    @Override
                    public void channelActive(ChannelHandlerContext ctx) {
                        remaining.countDown();
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        for (int i = 0; i < CONNECTION_COUNT; i++) {
            sockets.add(new Socket(address.getAddress(), address.getPort()));
        }
        assertTrue(remaining.await(30, TimeUnit.SECONDS), remaining.getCount() + " were never accepted");
        assertEquals(CONNECTION_COUNT, counterValue("taken.connections"));
        long pauses = counterValue("taken.connection-pauses");
        // At most 16 connections are accepted between two checks of the budget.
        assertTrue(pauses >= CONNECTION_COUNT / 16 - 1, pauses + " pauses");
        listener.close().sync();
    }
}
