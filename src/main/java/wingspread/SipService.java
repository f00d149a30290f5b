package wingspread;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.ssl.SSLException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wingspread.acme.AcmeAuthority;
import wingspread.acme.CertificateKeeper;
import wingspread.acme.CertificateStore;
import wingspread.acme.Issued;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Event;
import wingspread.front.sip.SipFront;
import wingspread.front.sip.SipListener;
import wingspread.net.Loop;
import wingspread.metrics.Metrics;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectParameters;

/** The SIP front with its timers, sockets and certificate, where the operators have turned it on. */
final class SipService {
    private static final Logger LOG = LoggerFactory.getLogger(SipService.class);

    private final Loop loop;
    private final SipConfig config;
    private final SipListener listener;
    /** Secures new connections; those that are open keep what they began with. Confined to the loop. */
    private SslContext security;

    SipService(Loop loop, SipConfig config, List<CallClass> classes, long seed, ReconnectParameters reconnects,
            Consumer<Event> planner, Metrics metrics) {
        this.loop = loop;
        this.config = config;
        Timers timers = new Timers(loop::now);
        SipFront front = new SipFront(timers, config, classes, seed, planner, metrics);
        this.listener = new SipListener(loop, front, reconnects, metrics);
        loop.addWorker(timers);
    }

    /** Starts to listen; for TLS once there is a certificate. */
    void listen() {
        if (config.udp() != null) {
            report(config.udp(), listener.listenUdp(config.udp()));
        }
        if (config.tcp() != null) {
            report(config.tcp(), listener.listenTcp(config.tcp(), null));
        }
        if (config.tls() != null) {
            keepCertificate();
        }
    }

    private void keepCertificate() {
        CertificateStore store = new CertificateStore(config.acme().store());
        InstantSource clock = InstantSource.system();
        CertificateKeeper keeper = new CertificateKeeper(new AcmeAuthority(config.acme(), store, clock,
                time -> Thread.sleep(Math.max(1, Duration.between(clock.instant(), time).toMillis()))),
                store, clock, issued -> loop.execute(() -> secure(issued)));
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread made = new Thread(task, "certificates");
            made.setDaemon(true);
            return made;
        });
        thread.execute(() -> tick(keeper, thread));
    }

    private static void tick(CertificateKeeper keeper, ScheduledExecutorService thread) {
        long wait = Math.max(1, Duration.between(Instant.now(), keeper.tick()).toMillis());
        thread.schedule(() -> tick(keeper, thread), wait, TimeUnit.MILLISECONDS);
    }

    /** Puts a certificate to use for connections to come. */
    void secure(Issued issued) {
        try {
            SslContext fresh = SslContextBuilder.forServer(issued.key(),
                    issued.chain().toArray(new X509Certificate[0])).build();
            boolean first = security == null;
            security = fresh;
            if (first) {
                report(config.tls(), listener.listenTcp(config.tls(),
                        () -> security.newHandler(ByteBufAllocator.DEFAULT)));
            }
        } catch (SSLException e) {
            LOG.error("{} cannot be used: {}", issued, e.getMessage());
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
