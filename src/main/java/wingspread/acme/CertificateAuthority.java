package wingspread.acme;

import java.io.IOException;

/** An authority that issues certificates. */
@FunctionalInterface
public interface CertificateAuthority {
    /**
     * Obtains a new certificate. May block for minutes.
     *
     * @throws IOException if no certificate was issued; the message gives the reason and contains no keys
     */
    IssuedCertificate obtain() throws IOException;
}
