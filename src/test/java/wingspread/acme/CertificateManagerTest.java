package wingspread.acme;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wingspread.config.SipConfig;
import wingspread.testbed.Ports;

/** Ordering and renewing certificates from a stand-in authority, with a clock that the test sets. */
class CertificateManagerTest {
    private static final Duration LIFETIME = Duration.ofDays(90);

    @TempDir
    Path folder;

    private Instant now = Instant.parse("2026-06-01T00:00:00Z");
    private final List<IssuedCertificate> installed = new ArrayList<>();
    private StandInAuthority authority;
    private InetSocketAddress http;

    @BeforeEach
    void start() throws IOException {
        http = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.findFreePort());
        authority = new StandInAuthority(() -> now, LIFETIME, http.getPort());
    }

    @AfterEach
    void stop() {
        authority.close();
    }

    private CertificateManager manager() {
        CertificateStore store = new CertificateStore(folder.resolve("acme"));
        return new CertificateManager(new AcmeAuthority(new SipConfig.Acme(authority.url("/directory"), "sip.test",
                "", http, folder), store, () -> now, time -> now = time), store, () -> now, installed::add);
    }

    private void assertLastIsIssuedByAuthority() throws Exception {
        installed.get(installed.size() - 1).chain().get(0).verify(authority.rootKey());
    }

    @Test
    void ordersCertificateAndRenewsItWithThirdOfLifetimeLeft() throws Exception {
        CertificateManager manager = manager();
        Instant ordered = now;
        assertEquals(ordered.plus(LIFETIME.dividedBy(3).multipliedBy(2)), manager.renewIfDue());
        assertEquals(List.of("order", "challenge passed", "finalize"), authority.actions);
        assertLastIsIssuedByAuthority();
        now = ordered.plus(Duration.ofDays(59));
        manager.renewIfDue();
        assertEquals(1, installed.size());
        now = ordered.plus(Duration.ofDays(61));
        manager.renewIfDue();
        assertEquals(2, installed.size());
        assertLastIsIssuedByAuthority();
    }

    @Test
    void usesSavedCertificateAfterRestart() {
        manager().renewIfDue();
        manager().renewIfDue();
        assertEquals(2, installed.size());
        assertEquals(installed.get(0), installed.get(1));
        assertEquals(1, authority.actions.stream().filter("order"::equals).count());
    }

    @Test
    void retriesRejectedNonceWithNewOne() throws Exception {
        authority.badNonces = 2;
        manager().renewIfDue();
        assertEquals(2, authority.actions.stream().filter("bad nonce"::equals).count());
        assertLastIsIssuedByAuthority();
    }

    @Test
    void installsNothingAfterFailedChallengeAndRetriesLater() {
        authority.refuseChallenge = true;
        CertificateManager manager = manager();
        Instant next = manager.renewIfDue();
        assertEquals(0, installed.size());
        assertEquals(now.plus(Duration.ofMinutes(1)), next);
        manager.renewIfDue();
        assertEquals(1, authority.actions.stream().filter("order"::equals).count());
        authority.refuseChallenge = false;
        now = next;
        manager.renewIfDue();
        assertEquals(1, installed.size());
    }

    @Test
    void keepsCertificateAndBacksOffWhileAuthorityIsDown() {
        CertificateManager manager = manager();
        now = manager.renewIfDue();
        authority.down = true;
        List<Duration> delays = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Instant next = manager.renewIfDue();
            delays.add(Duration.between(now, next));
            now = next;
        }
        assertEquals(1, installed.size());
        assertEquals(Duration.ofMinutes(2), delays.get(1));
        assertEquals(Duration.ofHours(6), delays.get(9));
        authority.down = false;
        manager.renewIfDue();
        assertEquals(2, installed.size());
    }

    @Test
    void keysAreReadableOnlyByOwnerAndNotPrinted() throws IOException {
        manager().renewIfDue();
        assertFalse(installed.get(0).toString().contains("PRIVATE"));
        try (Stream<Path> files = Files.list(folder.resolve("acme"))) {
            List<Path> all = files.toList();
            assertEquals(2, all.size());
            for (Path file : all) {
                assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(file)));
            }
        }
        assertEquals("rwx------", PosixFilePermissions.toString(
                Files.getPosixFilePermissions(folder.resolve("acme"))));
    }

    @Test
    void replacesCorruptFile() throws Exception {
        Files.createDirectories(folder.resolve("acme"));
        Files.writeString(folder.resolve("acme").resolve("certificate.pem"), "garbage");
        manager().renewIfDue();
        assertLastIsIssuedByAuthority();
        assertTrue(Files.readString(folder.resolve("acme").resolve("certificate.pem")).contains("BEGIN CERTIFICATE"));
    }
}
