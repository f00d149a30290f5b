package wingspread.acme;

import java.io.IOException;

/** Whoever issues certificates. */
@FunctionalInterface
public interface Authority {
    /**
     * Obtains a certificate.
     *
     * @throws IOException where none was issued; the message says why, without keys
     */
    Issued obtain() throws IOException;
}
