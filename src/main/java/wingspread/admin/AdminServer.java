package wingspread.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The administrative HTTP/1.1 server of a softswitch, with one request per connection. It has a thread of its own, so
 * that it answers while the event loop of the softswitch is busy. Connections, their life and the sizes of requests are
 * bounded; beyond the maximum number of connections, the oldest one is closed.
 */
public final class AdminServer implements Closeable {
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_CONNECTION_LIFE_SECONDS = 4;
    private static final int MAX_REQUEST_LINE_BYTES = 512;
    private static final int MAX_HEADER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 1_024;

    private final AdminOperations operations;
    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("admin", true));
    /** The open connections, oldest first; confined to the server's thread. */
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Creates a server that does not listen yet. */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /** Binds the listening socket; the result fails if the address is not available. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(address);
    }

    private void accept(SocketChannel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(channel);
        // A timer that outlives its connection would keep it, and short connections are not limited in number.
        ScheduledFuture<?> timeout = channel.eventLoop().schedule(() -> channel.close(), MAX_CONNECTION_LIFE_SECONDS,
                TimeUnit.SECONDS);
        channel.closeFuture().addListener(closed -> {
            connections.remove(channel);
            timeout.cancel(false);
        });
        channel.pipeline().addLast(new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                new HttpObjectAggregator(MAX_BODY_BYTES, true), new AdminHandler(operations));
    }

    /** Returns the open connections. */
    Set<Channel> connections() throws InterruptedException {
        return group.next().submit(() -> Set.copyOf(connections)).sync().getNow();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
