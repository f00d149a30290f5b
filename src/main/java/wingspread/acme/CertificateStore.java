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

/** Stores the account key, and the certificate with its key, in files that only their owner can read. */
public final class CertificateStore {
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_FILE =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_FOLDER =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------"));
    private static final String CURVE = "secp256r1";
    private static final String CERTIFICATE = "CERTIFICATE";
    private static final String PRIVATE_KEY = "PRIVATE KEY";
    private static final String PUBLIC_KEY = "PUBLIC KEY";

    private final Path folder;

    /**
     * Creates a store.
     *
     * @param folder the directory of the files, which is created when the first one is written
     */
    public CertificateStore(Path folder) {
        this.folder = folder;
    }

    /** Generates a key pair with the platform's provider; that of acme4j requires a provider that is not installed. */
    static KeyPair newKey() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(new ECGenParameterSpec(CURVE));
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the platform does not support the curve " + CURVE, e);
        }
    }

    /** Returns the account key, which is generated and saved at the first use. */
    KeyPair accountKey() throws IOException {
        Path file = folder.resolve("account.pem");
        if (Files.exists(file)) {
            return parseKey(file, Files.readString(file));
        }
        KeyPair key = newKey();
        write(file, pem(key));
        return key;
    }

    /** Loads the certificate that was saved last, if any. */
    Optional<IssuedCertificate> load() throws IOException {
        Path file = folder.resolve("certificate.pem");
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        String text = Files.readString(file);
        List<X509Certificate> chain = new ArrayList<>();
        try {
            CertificateFactory factory = CertificateFactory.getInstance("X.509");
            for (byte[] block : pemBlocks(text, CERTIFICATE)) {
                chain.add((X509Certificate) factory.generateCertificate(new ByteArrayInputStream(block)));
            }
        } catch (CertificateException e) {
            throw new IOException(file + " contains an invalid certificate", e);
        }
        if (chain.isEmpty()) {
            throw new IOException(file + " contains no certificate");
        }
        return Optional.of(new IssuedCertificate(parseKey(file, text).getPrivate(), List.copyOf(chain)));
    }

    /** Saves a certificate chain and its key atomically, in one file. */
    void save(KeyPair key, List<X509Certificate> chain) throws IOException {
        StringBuilder text = new StringBuilder(pem(key));
        for (X509Certificate certificate : chain) {
            try {
                text.append(pem(CERTIFICATE, certificate.getEncoded()));
            } catch (CertificateException e) {
                throw new IOException("cannot encode a certificate", e);
            }
        }
        write(folder.resolve("certificate.pem"), text.toString());
    }

    private static String pem(KeyPair key) {
        return pem(PRIVATE_KEY, key.getPrivate().getEncoded()) + pem(PUBLIC_KEY, key.getPublic().getEncoded());
    }

    /** Encodes a block in the textual format of RFC 7468. */
    private static String pem(String label, byte[] content) {
        return "-----BEGIN " + label + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content)
                + "\n-----END " + label + "-----\n";
    }

    private static List<byte[]> pemBlocks(String text, String label) throws IOException {
        List<byte[]> blocks = new ArrayList<>();
        Matcher matcher = Pattern.compile("-----BEGIN " + label + "-----([^-]*)-----END " + label + "-----")
                .matcher(text);
        try {
            while (matcher.find()) {
                blocks.add(Base64.getMimeDecoder().decode(matcher.group(1)));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("corrupt " + label + " block", e);
        }
        return blocks;
    }

    private static KeyPair parseKey(Path file, String text) throws IOException {
        List<byte[]> privateKeys = pemBlocks(text, PRIVATE_KEY);
        List<byte[]> publicKeys = pemBlocks(text, PUBLIC_KEY);
        if (privateKeys.size() != 1 || publicKeys.size() != 1) {
            throw new IOException(file + " does not contain exactly one key pair");
        }
        try {
            KeyFactory factory = KeyFactory.getInstance("EC");
            return new KeyPair(factory.generatePublic(new X509EncodedKeySpec(publicKeys.get(0))),
                    factory.generatePrivate(new PKCS8EncodedKeySpec(privateKeys.get(0))));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + " contains an invalid key", e);
        }
    }

    /**
     * Writes a file by renaming a temporary one, so that a crash leaves no partial file. The temporary file is created
     * with its final permissions, so that others can never read a key.
     */
    private void write(Path file, String text) throws IOException {
        if (!Files.exists(folder)) {
            Files.createDirectories(folder, OWNER_FOLDER);
        }
        Path temporary = Files.createTempFile(folder, "new", ".pem", OWNER_FILE);
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
