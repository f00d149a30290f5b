package wingspread.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Numbers under a keyed hash: the first 8 bytes of HMAC-SHA-256 (RFC 2104), so that nobody without the key can try. */
final class NumberHash {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int KEY_BYTES = 32;

    private final Mac mac;

    /** A hash under a key of any length but 0. */
    NumberHash(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
        }
    }

    /** A key that is nowhere else: numbers can be compared within one recording alone. */
    static byte[] freshKey() {
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        return key;
    }

    /** The hash of a number; 0 for none. */
    long of(String number) {
        return number.isEmpty() ? 0 : ByteBuffer.wrap(mac.doFinal(number.getBytes(StandardCharsets.UTF_8))).getLong();
    }
}
