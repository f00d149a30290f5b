package wingspread;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Event;
import wingspread.front.sip.SipFront;
import wingspread.front.sip.SipListener;
import wingspread.net.Loop;
import wingspread.net.Metrics;
import wingspread.sip.Timers;

/** The SIP front with its timers and sockets, where the operators have turned it on. */
final class SipService {
    private static final Logger LOG = LoggerFactory.getLogger(SipService.class);

    private final SipConfig config;
    private final SipListener listener;

    SipService(Loop loop, SipConfig config, List<CallClass> classes, long seed, Consumer<Event> planner,
            Metrics metrics) {
        this.config = config;
        Timers timers = new Timers(loop::now);
        SipFront front = new SipFront(timers, config, classes, seed, planner, metrics);
        this.listener = new SipListener(loop, front);
        loop.serve(timers);
    }

    void listen() {
        if (config.udp() != null) {
            report(config.udp(), listener.listenUdp(config.udp()));
        }
        if (config.tcp() != null) {
            report(config.tcp(), listener.listenTcp(config.tcp(), null));
        }
    }

    private static void report(InetSocketAddress address, ChannelFuture bound) {
        bound.addListener((ChannelFuture f) -> {
            if (f.isSuccess()) {
                LOG.info("SIP is taken at {}", f.channel().localAddress());
            } else {
                LOG.error("SIP cannot be taken at {}: {}", address, f.cause().getMessage());
            }
        });
    }

    void close() {
        listener.close();
    }
}
