package org.anvillatch.decision.model;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Order in which work is refused: importance first, then a hash of the root request, so that every hop keeps the
 * same root requests within one importance (DAGOR, SoCC 2018). Stateless and thread safe.
 */
public final class Rank {
    /** Number of root buckets within one importance. */
    public static final int BUCKETS = 128;

    /** Number of importances that can be told apart. */
    public static final int IMPORTANCE_LEVELS = 16;

    /** Exclusive upper bound of a rank. */
    public static final int LIMIT = BUCKETS * IMPORTANCE_LEVELS;

    private Rank() {}

    /**
     * Computes the rank of a request.
     *
     * @param importance 0 for the least important, below {@link #IMPORTANCE_LEVELS}
     * @param rootRequest identity of the root request
     * @return rank between 0 and {@link #LIMIT}, larger is refused later
     */
    public static int of(int importance, String rootRequest) {
        byte[] bytes = rootRequest.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes);
        return importance * BUCKETS + Math.floorMod(hash, BUCKETS);
    }

    /**
     * Returns the importance within a rank.
     *
     * @param rank rank of a request
     * @return importance, 0 for the least important
     */
    public static int importance(int rank) {
        return rank / BUCKETS;
    }
}
