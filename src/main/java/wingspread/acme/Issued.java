package wingspread.acme;

import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** A certificate with its chain, the own one first, and its private key. */
public record Issued(PrivateKey key, List<X509Certificate> chain) {
    /** The part of its life after which a certificate is renewed, in thirds. */
    private static final int RENEWED_AFTER_THIRDS = 2;

    Instant notAfter() {
        return chain.get(0).getNotAfter().toInstant();
    }

    /** When it is to be renewed: with a third of its life left, for an authority that is down meanwhile. */
    Instant renewAt() {
        Instant from = chain.get(0).getNotBefore().toInstant();
        return from.plus(Duration.between(from, notAfter()).dividedBy(3).multipliedBy(RENEWED_AFTER_THIRDS));
    }

    /** Keys are never printed. */
    @Override
    public String toString() {
        return "certificate of " + chain.get(0).getSubjectX500Principal() + " until " + notAfter();
    }
}
