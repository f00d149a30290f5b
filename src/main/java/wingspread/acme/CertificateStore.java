package wingspread.acme;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The account's key and the certificate with its key, in files that only their owner may read. */
public final class CertificateStore {
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_FILE =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_FOLDER =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------"));
    private static final String CURVE = "secp256r1";
    private static final String CERTIFICATE = "CERTIFICATE";
    private static final String PRIVATE = "PRIVATE KEY";
    private static final String PUBLIC = "PUBLIC KEY";

    private final Path folder;

    public CertificateStore(Path folder) {
        this.folder = folder;
    }

    /** A new key from the platform's provider; acme4j's own way wants one that is not installed. */
    static KeyPair newKey() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(new ECGenParameterSpec(CURVE));
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this platform lacks the curve " + CURVE, e);
        }
    }

    /** The account's key, made at the first use. */
    KeyPair accountKey() throws IOException {
        Path file = folder.resolve("account.pem");
        if (Files.exists(file)) {
            return key(file, Files.readString(file));
        }
        KeyPair key = newKey();
        write(file, pem(key));
        return key;
    }

    /** The certificate that was saved last, if any. */
    Optional<Issued> load() throws IOException {
        Path file = folder.resolve("certificate.pem");
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        String text = Files.readString(file);
        List<X509Certificate> chain = new ArrayList<>();
        try {
            CertificateFactory factory = CertificateFactory.getInstance("X.509");
            for (byte[] block : blocks(text, CERTIFICATE)) {
                chain.add((X509Certificate) factory.generateCertificate(new ByteArrayInputStream(block)));
            }
        } catch (CertificateException e) {
            throw new IOException(file + " holds a certificate that cannot be read", e);
        }
        if (chain.isEmpty()) {
            throw new IOException(file + " holds no certificate");
        }
        return Optional.of(new Issued(key(file, text).getPrivate(), List.copyOf(chain)));
    }

    /** Saves a certificate with its key, both or neither. */
    void save(KeyPair key, List<X509Certificate> chain) throws IOException {
        StringBuilder text = new StringBuilder(pem(key));
        for (X509Certificate certificate : chain) {
            try {
                text.append(pem(CERTIFICATE, certificate.getEncoded()));
            } catch (CertificateException e) {
                throw new IOException("a certificate cannot be written", e);
            }
        }
        write(folder.resolve("certificate.pem"), text.toString());
    }

    private static String pem(KeyPair key) {
        return pem(PRIVATE, key.getPrivate().getEncoded()) + pem(PUBLIC, key.getPublic().getEncoded());
    }

    /** RFC 7468. */
    private static String pem(String label, byte[] content) {
        return "-----BEGIN " + label + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content)
                + "\n-----END " + label + "-----\n";
    }

    private static List<byte[]> blocks(String text, String label) throws IOException {
        List<byte[]> out = new ArrayList<>();
        Matcher matcher = Pattern.compile("-----BEGIN " + label + "-----([^-]*)-----END " + label + "-----")
                .matcher(text);
        try {
            while (matcher.find()) {
                out.add(Base64.getMimeDecoder().decode(matcher.group(1)));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("a " + label + " block is spoilt", e);
        }
        return out;
    }

    private static KeyPair key(Path file, String text) throws IOException {
        List<byte[]> secret = blocks(text, PRIVATE);
        List<byte[]> open = blocks(text, PUBLIC);
        if (secret.size() != 1 || open.size() != 1) {
            throw new IOException(file + " does not hold one key");
        }
        try {
            KeyFactory factory = KeyFactory.getInstance("EC");
            return new KeyPair(factory.generatePublic(new X509EncodedKeySpec(open.get(0))),
                    factory.generatePrivate(new PKCS8EncodedKeySpec(secret.get(0))));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + " holds a key that cannot be read", e);
        }
    }

    /** Guards against half a file after a crash, and against a moment in which others could read a key. */
    private void write(Path file, String text) throws IOException {
        if (!Files.exists(folder)) {
            Files.createDirectories(folder, OWNER_FOLDER);
        }
        Path fresh = Files.createTempFile(folder, "new", ".pem", OWNER_FILE);
        Files.writeString(fresh, text);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
