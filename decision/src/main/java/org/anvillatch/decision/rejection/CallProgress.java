package org.anvillatch.decision.rejection;

import org.anvillatch.decision.model.Rank;

/**
 * What the gatekeeper of a called service must know of a call to decide about its retries. Immutable and thread safe.
 *
 * @param start which retry bound the dispatch counts against
 * @param completedCalls number of calls that the parent execution has completed
 * @param chosen whether the call tree was chosen to be completed: a retry of one of its calls was granted before
 */
public record CallProgress(CallStart start, int completedCalls, boolean chosen) {
    /** First dispatch of a call whose parent has completed no other call. */
    public static final CallProgress NONE = new CallProgress(CallStart.FIRST, 0, false);

    /** Number of ranks by which each completed call moves a call tree ahead of others of its importance. */
    private static final int RANKS_PER_CALL = 16;

    /**
     * Returns the rank that decides whether a retry is granted: the importance first, then whether the tree was chosen
     * before, then how far it has advanced.
     *
     * @param rank rank of the root request
     * @return a rank of the same importance, not below the given one
     */
    public int retryRank(int rank) {
        int highest = (Rank.importance(rank) + 1) * Rank.BUCKETS - 1;
        return chosen ? highest : (int) Math.min(highest, rank + (long) completedCalls * RANKS_PER_CALL);
    }
}
