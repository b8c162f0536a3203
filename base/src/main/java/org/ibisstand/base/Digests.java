package org.ibisstand.base;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests of tokens, bodies and salts. */
public final class Digests {
    private Digests() {}

    /**
     * Returns the SHA-256 digest of the parts, each preceded by its length.
     *
     * @param parts what to digest, in order
     */
    public static byte[] sha256(byte[]... parts) {
        MessageDigest digest = newDigest();
        for (byte[] part : parts) {
            digest.update(lengthOf(part));
            digest.update(part);
        }
        return digest.digest();
    }

    /**
     * Returns the digest of a text as 64 hexadecimal characters, the form that tokens are stored
     * in.
     *
     * @param text what to digest, as UTF-8
     */
    public static String hexadecimal(String text) {
        byte[] digest = newDigest().digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }

    private static byte[] lengthOf(byte[] part) {
        int length = part.length;
        return new byte[] {
            (byte) (length >>> 24), (byte) (length >>> 16), (byte) (length >>> 8), (byte) length
        };
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
