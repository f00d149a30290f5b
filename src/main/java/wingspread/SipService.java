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
import wingspread.acme.CertificateManager;
import wingspread.acme.CertificateStore;
import wingspread.acme.IssuedCertificate;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.core.Event;
import wingspread.front.sip.SipFront;
import wingspread.front.sip.SipListener;
import wingspread.metrics.Metrics;
import wingspread.net.Loop;
import wingspread.sip.Timers;
import wingspread.storm.ReconnectParameters;

/** The optional SIP front end with its timers, sockets and TLS certificate. */
final class SipService {
    private static final Logger LOG = LoggerFactory.getLogger(SipService.class);

    private final Loop loop;
    private final SipConfig config;
    private final SipListener listener;
    /**
     * The TLS context of new connections; null before the first certificate. Open connections keep the context of
     * their handshake. Accessed only on the event loop.
     */
    private SslContext sslContext;

    /**
     * Creates the service without opening a socket.
     *
     * @param seed the seed of the call ids and tags
     * @param planner receives the events of calls
     */
    SipService(Loop loop, SipConfig config, List<CallClass> classes, long seed, ReconnectParameters reconnects,
            Consumer<Event> planner, Metrics metrics) {
        this.loop = loop;
        this.config = config;
        Timers timers = new Timers(loop::now);
        SipFront front = new SipFront(timers, config, classes, seed, planner, metrics);
        this.listener = new SipListener(loop, front, reconnects, metrics);
        loop.addWorker(timers);
    }

    /** Starts listening; for TLS, as soon as a certificate is available. */
    void listen() {
        if (config.udp() != null) {
            logBindResult(config.udp(), listener.listenUdp(config.udp()));
        }
        if (config.tcp() != null) {
            logBindResult(config.tcp(), listener.listenTcp(config.tcp(), null));
        }
        if (config.tls() != null) {
            startCertificateRenewal();
        }
    }

    private void startCertificateRenewal() {
        CertificateStore store = new CertificateStore(config.acme().store());
        InstantSource clock = InstantSource.system();
        CertificateManager manager = new CertificateManager(new AcmeAuthority(config.acme(), store, clock,
                time -> Thread.sleep(Math.max(1, Duration.between(clock.instant(), time).toMillis()))),
                store, clock, certificate -> loop.execute(() -> useCertificate(certificate)));
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "certificates");
            thread.setDaemon(true);
            return thread;
        });
        executor.execute(() -> renewWhenDue(manager, executor));
    }

    private static void renewWhenDue(CertificateManager manager, ScheduledExecutorService executor) {
        long delayMillis = Math.max(1, Duration.between(Instant.now(), manager.renewIfDue()).toMillis());
        executor.schedule(() -> renewWhenDue(manager, executor), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Uses a certificate for new connections. With the first one, starts listening for TLS. */
    void useCertificate(IssuedCertificate certificate) {
        try {
            SslContext newContext = SslContextBuilder.forServer(certificate.key(),
                    certificate.chain().toArray(new X509Certificate[0])).build();
            boolean first = sslContext == null;
            sslContext = newContext;
            if (first) {
                logBindResult(config.tls(), listener.listenTcp(config.tls(),
                        () -> sslContext.newHandler(ByteBufAllocator.DEFAULT)));
            }
        } catch (SSLException e) {
            LOG.error("cannot use {}: {}", certificate, e.getMessage());
        }
    }

    private static void logBindResult(InetSocketAddress address, ChannelFuture bound) {
        bound.addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                LOG.info("SIP is listening on {}", future.channel().localAddress());
            } else {
                LOG.error("SIP cannot listen on {}: {}", address, future.cause().getMessage());
            }
        });
    }

    /** Closes the sockets and connections. */
    void close() {
        listener.close();
    }
}
