package org.anvillatch.decision.admission;

/**
 * How many root requests of one operation may run at a time at one endpoint. A request whose nested calls wait long for slots
 * elsewhere shows that a service below is full; the fewer trees run then, the less work is wasted on those that cannot finish.
 * Additive increase, multiplicative decrease on the share of time that the trees spend waiting; the decrease starts from what
 * runs, so the limit does not bind before calls wait. On a cold endpoint the limit starts low, like that of all executions.
 *
 * <p>Invariant: {@code LEAST <= limit <= slots}. Not thread safe: owned by the host's decision loop.
 */
final class CallTreeLimit {
    /** Requests that always may run, so that an operation can show that its calls no longer wait. */
    static final int LEAST = 2;

    /**
     * Waiting time, as a share of the time spent working, that the least important requests tolerate; little enough for the
     * bound on wasted trees in {@code DeepTreeOverloadTest}.
     */
    static final double LEAST_WAIT = 0.15;

    /** The same for the most important requests: a tree whose deadline is twice its work still ends in time. */
    static final double MOST_WAIT = 0.5;

    /** Factor of a decrease; milder than the half of RFC 5681, since the share of waiting is an average already. */
    private static final double DECREASE_FACTOR = 0.85;

    /** Requests by which the limit grows in one generation; RFC 5681 grows by one. */
    private static final double INCREASE = 2;

    /** Weight of one ended request in the share of waiting. */
    private static final double WEIGHT = 0.1;

    /** Share of waiting that a request counts with if a nested call of it was refused. */
    private static final double REFUSED_WAIT = 2;

    /** Part of a limit that was lowered which must be in use for it to grow again. */
    private static final double USED = 0.75;

    private final int slots;
    private double limit;
    private double waitShare;
    private double meanMicros;
    private boolean cold = true;
    private long nextDecreaseMicros;

    CallTreeLimit(int slots) {
        this.slots = Math.max(LEAST, slots);
        this.limit = Math.max(LEAST, slots * ConcurrencyLimit.COLD_SHARE);
    }

    /**
     * Learns how a request ended.
     *
     * @param running requests of the operation that ran, this one included
     * @param durationMicros how long it ran
     * @param below what its nested calls met
     * @param place place of its importance among those in use, 0 for the least and 1 for the highest
     * @param nowMicros current time
     */
    void ended(int running, long durationMicros, NestedCallStats below, double place, long nowMicros) {
        double worked = Math.max(1, durationMicros - below.queuedMicros());
        double share = below.refused() ? REFUSED_WAIT : Math.min(REFUSED_WAIT, below.queuedMicros() / worked);
        waitShare += (share - waitShare) * WEIGHT;
        meanMicros += (durationMicros - meanMicros) * (meanMicros == 0 ? 1 : WEIGHT);
        double tolerated = LEAST_WAIT + (MOST_WAIT - LEAST_WAIT) * place;
        if (waitShare > tolerated) {
            decrease(running, nowMicros);
        } else if (cold) {
            limit = Math.min(slots, limit + 1);
        } else if (running >= limit * USED) {
            limit = Math.min(slots, limit + INCREASE / limit);
        }
    }

    /** One decrease for each generation of requests: those that run already still meet the old limit. */
    private void decrease(int running, long nowMicros) {
        cold = false;
        if (nowMicros >= nextDecreaseMicros) {
            nextDecreaseMicros = nowMicros + (long) meanMicros;
            limit = Math.max(LEAST, Math.min(limit, running) * DECREASE_FACTOR);
        }
    }

    /**
     * Returns the limit.
     *
     * @return requests that may run at a time
     */
    int limit() {
        return (int) limit;
    }
}
