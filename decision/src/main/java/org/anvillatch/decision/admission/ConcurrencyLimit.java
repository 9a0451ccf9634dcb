package org.anvillatch.decision.admission;

/**
 * Adaptive limit on the concurrent executions of one endpoint. The limit starts low on a cold endpoint, grows by one
 * with each successful execution up to the announced slots, and falls when the endpoint rejects work or times out, so
 * an endpoint that announces too many slots is limited to what it can run. The limit never falls below its initial
 * value, so that an endpoint that was slow is back at its slots within a few executions.
 *
 * <p>Invariant: {@code 1 <= limit <= slots}. Not thread safe: owned by the host's decision loop.
 */
public final class ConcurrencyLimit {
    /** Initial and minimum limit as a fraction of the slots. */
    public static final double INITIAL_LIMIT_RATIO = 0.25;

    private static final double DECREASE_FACTOR = 0.9;
    private static final long MIN_DECREASE_INTERVAL_MICROS = 50_000;

    private final int slots;
    private final double minLimit;
    private double limit;
    private long nextDecreaseMicros;

    /**
     * Creates the limit of a cold endpoint.
     *
     * @param slots slots announced by the endpoint, at least 1
     */
    public ConcurrencyLimit(int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1 but is " + slots);
        }
        this.slots = slots;
        this.minLimit = Math.max(1, slots * INITIAL_LIMIT_RATIO);
        this.limit = minLimit;
    }

    /**
     * Returns the maximum number of concurrent executions.
     *
     * @return at least 1
     */
    public int limit() {
        return (int) limit;
    }

    /**
     * Returns the slots announced by the endpoint.
     *
     * @return at least 1
     */
    public int slots() {
        return slots;
    }

    /** Records an execution that the endpoint accepted and finished. */
    public void recordSuccess() {
        limit = Math.min(slots, limit + 1);
    }

    /**
     * Records that the endpoint rejected work or did not answer in time.
     *
     * @param nowMicros current time in microseconds
     */
    public void recordRejection(long nowMicros) {
        if (nowMicros < nextDecreaseMicros) {
            return;
        }
        nextDecreaseMicros = nowMicros + MIN_DECREASE_INTERVAL_MICROS;
        limit = Math.max(minLimit, limit * DECREASE_FACTOR);
    }
}
