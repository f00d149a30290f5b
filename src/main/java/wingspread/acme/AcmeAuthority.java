package wingspread.acme;

import java.io.IOException;
import java.net.URI;
import java.security.KeyPair;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.AcmeJsonResource;
import org.shredzone.acme4j.Authorization;
import org.shredzone.acme4j.Login;
import org.shredzone.acme4j.Order;
import org.shredzone.acme4j.PollableResource;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.Status;
import org.shredzone.acme4j.challenge.Http01Challenge;
import org.shredzone.acme4j.exception.AcmeException;
import org.shredzone.acme4j.exception.AcmeLazyLoadingException;
import org.shredzone.acme4j.exception.AcmeProtocolException;
import wingspread.config.SipConfig;

/** A certificate authority that is accessed by ACME (RFC 8555), with the http-01 challenge. */
public final class AcmeAuthority implements CertificateAuthority {
    /** The interval between two polls of a resource if the authority does not state one. */
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofMinutes(5);

    /** Waits between two polls; replaceable in tests, which do not wait. */
    @FunctionalInterface
    public interface Pause {
        /** Waits until a time. */
        void until(Instant time) throws InterruptedException;
    }

    private final SipConfig.Acme config;
    private final CertificateStore store;
    private final InstantSource clock;
    private final Pause pause;

    /**
     * Creates a client of an authority.
     *
     * @param store holds the account key, and receives the certificates
     */
    public AcmeAuthority(SipConfig.Acme config, CertificateStore store, InstantSource clock, Pause pause) {
        this.config = config;
        this.store = store;
        this.clock = clock;
        this.pause = pause;
    }

    @Override
    public IssuedCertificate obtain() throws IOException {
        try {
            Instant deadline = clock.instant().plus(ORDER_TIMEOUT);
            AccountBuilder account = new AccountBuilder().agreeToTermsOfService().useKeyPair(store.accountKey());
            if (!config.contact().isEmpty()) {
                account.addEmail(config.contact());
            }
            Login login = account.createLogin(new Session(URI.create(config.directory())));
            Order order = login.newOrder().domain(config.domain()).create();
            for (Authorization authorization : order.getAuthorizations()) {
                authorize(authorization, deadline);
            }
            KeyPair key = CertificateStore.newKey();
            order.execute(key);
            await(order, deadline, "the order");
            IssuedCertificate certificate = new IssuedCertificate(key.getPrivate(),
                    List.copyOf(order.getCertificate().getCertificateChain()));
            store.save(key, certificate.chain());
            return certificate;
        } catch (AcmeException | AcmeProtocolException | AcmeLazyLoadingException e) {
            // The latter two are unchecked: the response was not valid ACME, or a resource vanished between two steps.
            throw new IOException(e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while ordering a certificate", e);
        }
    }

    private void authorize(Authorization authorization, Instant deadline)
            throws IOException, AcmeException, InterruptedException {
        if (authorization.getStatus() == Status.VALID) {
            return;
        }
        Http01Challenge challenge = authorization.findChallenge(Http01Challenge.class)
                .orElseThrow(() -> new IOException("the authority offers no http-01 challenge"));
        try (ChallengeServer server = new ChallengeServer(config.http(), challenge.getToken(),
                challenge.getAuthorization())) {
            server.start();
            challenge.trigger();
            await(authorization, deadline, "the challenge");
        }
    }

    private <R extends AcmeJsonResource & PollableResource> void await(R resource, Instant deadline,
            String description) throws IOException, AcmeException, InterruptedException {
        while (true) {
            Instant nextPoll = resource.fetch().orElse(clock.instant().plus(POLL_INTERVAL));
            if (resource.getStatus() == Status.VALID) {
                return;
            }
            if (resource.getStatus() == Status.INVALID) {
                throw new IOException("the authority rejected " + description);
            }
            if (nextPoll.isAfter(deadline)) {
                throw new IOException("the authority did not validate " + description + " in time");
            }
            pause.until(nextPoll);
        }
    }
}
