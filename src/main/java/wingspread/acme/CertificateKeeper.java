package wingspread.acme;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a certificate in force: loads the last one, renews it in time, and backs off while that fails. */
public final class CertificateKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(CertificateKeeper.class);
    private static final Duration RETRY = Duration.ofMinutes(1);
    private static final Duration RETRY_MAX = Duration.ofHours(6);

    private final Authority authority;
    private final CertificateStore store;
    private final InstantSource clock;
    private final Consumer<Issued> installed;
    private Issued current;
    private boolean loaded;
    private Duration retry = RETRY;
    private Instant notBefore = Instant.MIN;

    /**
     * A keeper.
     *
     * @param installed hears of each certificate that is to be used from now on
     */
    public CertificateKeeper(Authority authority, CertificateStore store, InstantSource clock,
            Consumer<Issued> installed) {
        this.authority = authority;
        this.store = store;
        this.clock = clock;
        this.installed = installed;
    }

    /** Does what is due and returns when it is to be called next. May take long. */
    public Instant tick() {
        Instant now = clock.instant();
        if (!loaded) {
            loaded = true;
            load(now);
        }
        if (!now.isBefore(notBefore) && (current == null || !now.isBefore(current.renewAt()))) {
            renew(now);
        }
        Instant due = current == null ? notBefore : current.renewAt();
        return due.isAfter(notBefore) ? due : notBefore;
    }

    private void load(Instant now) {
        try {
            store.load().filter(saved -> saved.notAfter().isAfter(now)).ifPresent(this::install);
        } catch (IOException e) {
            LOG.warn("the saved certificate cannot be used: {}", e.getMessage());
        }
    }

    /** Guards against an authority that is down or refuses: the old certificate stays in use. */
    private void renew(Instant now) {
        try {
            install(authority.obtain());
            retry = RETRY;
        } catch (IOException e) {
            notBefore = now.plus(retry);
            LOG.warn("no new certificate, next try at {}: {}", notBefore, e.getMessage());
            retry = retry.multipliedBy(2).compareTo(RETRY_MAX) > 0 ? RETRY_MAX : retry.multipliedBy(2);
        }
    }

    private void install(Issued issued) {
        current = issued;
        LOG.info("{} is in use", issued);
        installed.accept(issued);
    }
}
