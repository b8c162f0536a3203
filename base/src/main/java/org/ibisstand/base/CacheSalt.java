package org.ibisstand.base;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Separates the cache entries of different teams and of different weights.
 *
 * @param value the digest of team, model and weights version
 */
public record CacheSalt(String value) {
    private static final int SALT_BYTES = 16;

    /**
     * Returns the salt that belongs to one team's use of one weights version.
     *
     * @param team the team's name
     * @param model the model's name
     * @param weightsVersion the version of the weights that must answer
     */
    public static CacheSalt of(String team, String model, String weightsVersion) {
        byte[] digest = Digests.sha256(bytes(team), bytes(model), bytes(weightsVersion));
        return new CacheSalt(HexFormat.of().formatHex(digest, 0, SALT_BYTES));
    }

    /** Returns the first hash of every prefix chain under this salt. */
    public long seed() {
        return ByteBuffer.wrap(Digests.sha256(bytes(value))).getLong();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
