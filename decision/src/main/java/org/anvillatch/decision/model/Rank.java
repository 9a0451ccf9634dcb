package org.anvillatch.decision.model;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Order in which work is refused: by importance, then by a hash of the root request, so that every host admits the same
 * root requests within one importance (DAGOR, SoCC 2018). Stateless and thread safe.
 */
public final class Rank {
    /** Number of hash buckets for root requests within one importance. */
    public static final int BUCKETS = 128;

    /** Number of levels of importance. */
    public static final int IMPORTANCE_LEVELS = 16;

    /** Exclusive upper bound of a rank. */
    public static final int LIMIT = BUCKETS * IMPORTANCE_LEVELS;

    private Rank() {}

    /**
     * Computes the rank of a request.
     *
     * @param importance 0 for the least important, below {@link #IMPORTANCE_LEVELS}
     * @param rootRequest identity of the root request
     * @return rank, at least 0 and below {@link #LIMIT}; a larger rank is refused later
     */
    public static int of(int importance, String rootRequest) {
        byte[] bytes = rootRequest.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes);
        return importance * BUCKETS + Math.floorMod(hash, BUCKETS);
    }

    /**
     * Returns the importance of a rank.
     *
     * @param rank rank of a request
     * @return importance, 0 for the least important
     */
    public static int importance(int rank) {
        return rank / BUCKETS;
    }
}
