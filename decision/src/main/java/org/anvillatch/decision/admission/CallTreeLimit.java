package org.anvillatch.decision.admission;

/**
 * Adaptive limit on the concurrent call trees of one operation at one endpoint; a call tree is a root request with its
 * nested calls. If nested calls wait long for slots, a downstream service is full. Fewer concurrent call trees then
 * waste less work on those that cannot finish in time.
 *
 * <p>The limit follows additive increase, multiplicative decrease, driven by the ratio of queue time to work time in
 * the call trees, and increases faster while the calls hardly wait. A decrease starts from the number of running requests if that is lower than the limit, so the limit
 * may stay high, without effect, until nested calls wait. On a cold endpoint the limit starts low, like the limit on
 * all executions, and grows by one with each request until the first decrease.
 *
 * <p>Invariant: {@code MIN_LIMIT <= limit <= slots}. Not thread safe: owned by the host's decision loop.
 */
final class CallTreeLimit {
    /** Minimum limit, so that some requests always run and can show that nested calls no longer wait. */
    static final int MIN_LIMIT = 2;

    /**
     * Tolerated ratio of queue time to work time for the lowest importance; low enough for the bound on wasted call
     * trees in {@code DeepTreeOverloadTest}.
     */
    static final double MIN_WAIT_RATIO = 0.15;

    /**
     * Tolerated ratio for the highest importance: a call tree whose deadline is twice its work time still ends in time.
     */
    static final double MAX_WAIT_RATIO = 0.5;

    /** Factor of a decrease; milder than the 0.5 of RFC 5681, because the wait ratio is already an average. */
    private static final double DECREASE_FACTOR = 0.85;

    /** Increase of the limit while as many requests end as the limit allows; RFC 5681 adds one per round trip. */
    private static final double INCREASE = 2;

    /** Weight of one ended request in the averages. */
    private static final double EWMA_WEIGHT = 0.1;

    /** Wait ratio of a request with a refused nested call, and the maximum wait ratio of any request. */
    private static final double REFUSED_WAIT_RATIO = 2;

    /**
     * Wait ratio, as a fraction of the tolerated one, below which the limit grows by one with each request, as on a cold
     * endpoint: with the additive increase alone, requests are refused for several durations of a call tree after the
     * calls have ceased to wait.
     */
    private static final double IDLE_WAIT_RATIO = 0.25;

    /** Minimum fraction of the limit that must be in use for it to grow again after a decrease. */
    private static final double MIN_USED_RATIO = 0.75;

    private final int slots;
    private double limit;
    private double meanWaitRatio;
    private double meanDurationMicros;
    private boolean cold = true;
    private long nextDecreaseMicros;

    CallTreeLimit(int slots) {
        this.slots = Math.max(MIN_LIMIT, slots);
        this.limit = Math.max(MIN_LIMIT, slots * ConcurrencyLimit.INITIAL_LIMIT_RATIO);
    }

    /**
     * Records the end of a request and adapts the limit.
     *
     * @param running number of running requests that are counted against this limit, before the end of this one
     * @param durationMicros duration of the request, including its nested calls, in microseconds
     * @param nestedCalls statistics of its nested calls
     * @param relativeImportance its importance among those in use, 0 for the lowest and 1 for the highest
     * @param nowMicros current time in microseconds
     */
    void recordEnd(
            int running, long durationMicros, NestedCallStats nestedCalls, double relativeImportance, long nowMicros) {
        double workMicros = Math.max(1, durationMicros - nestedCalls.queuedMicros());
        double waitRatio = nestedCalls.refused()
                ? REFUSED_WAIT_RATIO
                : Math.min(REFUSED_WAIT_RATIO, nestedCalls.queuedMicros() / workMicros);
        meanWaitRatio += (waitRatio - meanWaitRatio) * EWMA_WEIGHT;
        meanDurationMicros += (durationMicros - meanDurationMicros) * (meanDurationMicros == 0 ? 1 : EWMA_WEIGHT);
        double toleratedWaitRatio = MIN_WAIT_RATIO + (MAX_WAIT_RATIO - MIN_WAIT_RATIO) * relativeImportance;
        if (meanWaitRatio > toleratedWaitRatio) {
            // The average outlasts its cause; a request that did not wait shows that the calls no longer wait.
            if (waitRatio > toleratedWaitRatio * IDLE_WAIT_RATIO) {
                decrease(running, nowMicros);
            }
        } else if (cold) {
            limit = Math.min(slots, limit + 1);
        } else if (running >= limit * MIN_USED_RATIO) {
            boolean idle = meanWaitRatio < toleratedWaitRatio * IDLE_WAIT_RATIO;
            limit = Math.min(slots, limit + (idle ? 1 : INCREASE / limit));
        }
    }

    /** Decreases the limit at most once per mean duration: requests that already run were admitted by the old limit. */
    private void decrease(int running, long nowMicros) {
        cold = false;
        if (nowMicros >= nextDecreaseMicros) {
            nextDecreaseMicros = nowMicros + (long) meanDurationMicros;
            limit = Math.max(MIN_LIMIT, Math.min(limit, running) * DECREASE_FACTOR);
        }
    }

    /**
     * Returns the limit.
     *
     * @return maximum number of concurrent requests
     */
    int limit() {
        return (int) limit;
    }
}
