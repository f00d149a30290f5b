package wingspread.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Keyed hash of numbers: the first 8 bytes of HMAC-SHA-256 (RFC 2104). Without the key, a number cannot be found by
 * hashing candidate numbers.
 */
final class NumberHash {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int KEY_BYTES = 32;

    private final Mac mac;

    /** Creates a hash with a key of any length except 0. */
    NumberHash(byte[] key) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("missing MAC algorithm that every JDK provides: " + ALGORITHM, e);
        }
    }

    /** Returns a new random key. As it is not stored, numbers can be compared only within one recording. */
    static byte[] randomKey() {
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        return key;
    }

    /** Returns the hash of a number; 0 for an empty one. */
    long of(String number) {
        return number.isEmpty() ? 0 : ByteBuffer.wrap(mac.doFinal(number.getBytes(StandardCharsets.UTF_8))).getLong();
    }
}
