package org.ibisstand.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.ibisstand.base.Digests;

/** Compares bearer tokens with the stored digest of the operators' token in constant time. */
final class OperatorToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] mDigest;

    private OperatorToken(byte[] digest) {
        mDigest = digest;
    }

    /**
     * Returns a check of tokens.
     *
     * @param digest the digest of the token that is right, in hexadecimal
     */
    static OperatorToken ofDigest(String digest) {
        return new OperatorToken(digest.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Returns whether the value of an Authorization header carries the token.
     *
     * @param header the value, or null if the request has no such header
     */
    boolean matches(String header) {
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return false;
        }
        String digest = Digests.hexadecimal(header.substring(SCHEME.length()).strip());
        return MessageDigest.isEqual(mDigest, digest.getBytes(StandardCharsets.US_ASCII));
    }
}
