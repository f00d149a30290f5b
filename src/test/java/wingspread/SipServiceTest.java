package wingspread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.SubjectPublicKeyInfo;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.Test;
import wingspread.acme.IssuedCertificate;
import wingspread.config.SipConfig;
import wingspread.control.CallControl.CallClass;
import wingspread.control.CallControl.Effect;
import wingspread.control.CallControl.RepeatGroup;
import wingspread.metrics.Metrics;
import wingspread.net.Loop;
import wingspread.net.UnixClock;
import wingspread.storm.ReconnectParameters;
import wingspread.testbed.Ports;

/** TLS of the SIP front end, and the replacement of its certificate while a connection is open. */
class SipServiceTest {
    private static final CallClass PLAIN = new CallClass("plain", 1, 9_000_000, 1, 0, 1, 0, Effect.SAFE,
            RepeatGroup.ALL, 0, List.of());

    private static IssuedCertificate certificate(String name) throws Exception {
        KeyPair key = KeyPairGenerator.getInstance("EC").generateKeyPair();
        X500Name subject = new X500Name("CN=" + name);
        X509Certificate certificate = new JcaX509CertificateConverter().getCertificate(
                new X509v3CertificateBuilder(subject, BigInteger.ONE, new Date(0), new Date(4_000_000_000_000L),
                        subject, SubjectPublicKeyInfo.getInstance(key.getPublic().getEncoded()))
                        .build(new JcaContentSignerBuilder("SHA256withECDSA").build(key.getPrivate())));
        return new IssuedCertificate(key.getPrivate(), List.of(certificate));
    }

    private static SSLSocket connect(InetSocketAddress address) throws Exception {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new X509TrustManager() {
            @Override
            public void checkClientTrusted(X509Certificate[] chain, String type) {
                // Not called on the client side.
            }

            @Override
            public void checkServerTrusted(X509Certificate[] chain, String type) {
                // The test checks the certificate itself.
            }

            @Override
            public X509Certificate[] getAcceptedIssuers() {
                return new X509Certificate[0];
            }
        }}, new SecureRandom());
        SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(address.getAddress(),
                address.getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Sends an OPTIONS request and returns the status line of its response. */
    private static String options(SSLSocket socket, int branch) throws IOException {
        socket.getOutputStream().write(("OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TLS 127.0.0.1:9;branch=z9hG4bK"
                + branch + "\r\nFrom: <sip:a@net>;tag=1\r\nTo: <sip:b@net>\r\nCall-ID: c" + branch
                + "\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.ISO_8859_1));
        String statusLine = in.readLine();
        String line = statusLine;
        while (!line.isEmpty()) {
            line = in.readLine();
        }
        return statusLine;
    }

    private static String subject(SSLSocket socket) throws IOException {
        return ((X509Certificate) socket.getSession().getPeerCertificates()[0]).getSubjectX500Principal().getName();
    }

    @Test
    void newCertificateAppliesToNewConnectionsAndKeepsOpenOnes() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.findFreePort());
        Loop loop = new Loop(new UnixClock());
        Metrics metrics = new Metrics();
        SipService service = new SipService(loop, new SipConfig(null, null, address, "", Map.of("", 1),
                new SipConfig.Acme("http://127.0.0.1:1/", "sip.test", "", address, Path.of("unused"))),
                List.of(PLAIN), 7, ReconnectParameters.DEFAULTS, event -> { }, metrics);
        useCertificate(loop, service, certificate("first"));
        try (SSLSocket openConnection = connect(address)) {
            assertEquals("SIP/2.0 200 OK", options(openConnection, 1));
            useCertificate(loop, service, certificate("second"));
            assertEquals("SIP/2.0 200 OK", options(openConnection, 2));
            assertEquals("CN=first", subject(openConnection));
            try (SSLSocket newConnection = connect(address)) {
                assertEquals("SIP/2.0 200 OK", options(newConnection, 3));
                assertEquals("CN=second", subject(newConnection));
            }
            try (Socket plainTextConnection = new Socket(address.getAddress(), address.getPort())) {
                plainTextConnection.setSoTimeout(10_000);
                plainTextConnection.getOutputStream().write("OPTIONS sip:no-tls@net SIP/2.0\r\n\r\n".getBytes(
                        StandardCharsets.ISO_8859_1));
                plainTextConnection.getInputStream().readAllBytes();
            }
            assertEquals("SIP/2.0 200 OK", options(openConnection, 4));
            assertEquals("2 of 3", CompletableFuture.supplyAsync(() -> metrics.value("taken.handshakes") + " of "
                    + metrics.value("taken.connections"), loop::execute).get(10, TimeUnit.SECONDS));
        } finally {
            loop.execute(service::close);
            loop.stop();
        }
    }

    /** Passes a certificate to the service and waits for the event loop, which also binds the socket. */
    private static void useCertificate(Loop loop, SipService service, IssuedCertificate issued) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            service.useCertificate(issued);
            loop.execute(() -> done.complete(null));
        });
        done.get(10, TimeUnit.SECONDS);
    }
}
