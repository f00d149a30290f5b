package wingspread.acme;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Provides a valid certificate: loads the saved one, renews it before it expires, and backs off after a failure. */
public final class CertificateManager {
    private static final Logger LOG = LoggerFactory.getLogger(CertificateManager.class);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMinutes(1);
    private static final Duration MAX_RETRY_DELAY = Duration.ofHours(6);

    private final CertificateAuthority authority;
    private final CertificateStore store;
    private final InstantSource clock;
    private final Consumer<IssuedCertificate> onInstalled;
    /** The certificate in use; null before the first. */
    private IssuedCertificate current;
    private boolean loaded;
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private Instant nextAttemptAt = Instant.MIN;

    /**
     * Creates a manager; {@link #renewIfDue} has to be called for it to provide a certificate.
     *
     * @param onInstalled receives each certificate to use from then on
     */
    public CertificateManager(CertificateAuthority authority, CertificateStore store, InstantSource clock,
            Consumer<IssuedCertificate> onInstalled) {
        this.authority = authority;
        this.store = store;
        this.clock = clock;
        this.onInstalled = onInstalled;
    }

    /**
     * Loads the saved certificate at the first call, and orders a new one if that is due. May block for minutes.
     *
     * @return when to call this method again
     */
    public Instant renewIfDue() {
        Instant now = clock.instant();
        if (!loaded) {
            loaded = true;
            load(now);
        }
        if (!now.isBefore(nextAttemptAt) && (current == null || !now.isBefore(current.renewAt()))) {
            renew(now);
        }
        Instant renewAt = current == null ? nextAttemptAt : current.renewAt();
        return renewAt.isAfter(nextAttemptAt) ? renewAt : nextAttemptAt;
    }

    private void load(Instant now) {
        try {
            store.load().filter(saved -> saved.notAfter().isAfter(now)).ifPresent(this::install);
        } catch (IOException e) {
            LOG.warn("cannot use the saved certificate: {}", e.getMessage());
        }
    }

    /** Orders a new certificate. If the authority is down or rejects the order, the current one remains in use. */
    private void renew(Instant now) {
        try {
            install(authority.obtain());
            retryDelay = INITIAL_RETRY_DELAY;
        } catch (IOException e) {
            nextAttemptAt = now.plus(retryDelay);
            LOG.warn("could not obtain a new certificate, next attempt at {}: {}", nextAttemptAt, e.getMessage());
            retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY
                    : retryDelay.multipliedBy(2);
        }
    }

    private void install(IssuedCertificate certificate) {
        current = certificate;
        LOG.info("using {}", certificate);
        onInstalled.accept(certificate);
    }
}
