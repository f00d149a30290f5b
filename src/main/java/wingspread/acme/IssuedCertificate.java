package wingspread.acme;

import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * An issued certificate with its private key.
 *
 * @param chain the certificate itself, followed by those of its issuers
 */
public record IssuedCertificate(PrivateKey key, List<X509Certificate> chain) {
    /** The share of its lifetime after which a certificate is renewed, in thirds. */
    private static final int RENEWAL_THIRDS = 2;

    /** Returns when the certificate expires. */
    Instant notAfter() {
        return chain.get(0).getNotAfter().toInstant();
    }

    /** Returns when to renew: with a third of the lifetime left, in case the authority is down for some time. */
    Instant renewAt() {
        Instant notBefore = chain.get(0).getNotBefore().toInstant();
        return notBefore.plus(Duration.between(notBefore, notAfter()).dividedBy(3).multipliedBy(RENEWAL_THIRDS));
    }

    /** Describes the certificate without its key, so that a log never contains a key. */
    @Override
    public String toString() {
        return "certificate of " + chain.get(0).getSubjectX500Principal() + " until " + notAfter();
    }
}
