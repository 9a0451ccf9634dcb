package org.anvillatch.decision.admission;

/**
 * How many executions one endpoint is given at a time. The limit starts low on a cold endpoint, grows by one with each
 * successful execution up to the announced slots, and falls when the endpoint rejects work or times out, so an
 * announcement that promises too much is corrected by what is observed. It does not fall below its start, so that an
 * endpoint which was slow is back at its slots within a few executions.
 *
 * <p>Invariant: {@code 1 <= limit <= slots}. Not thread safe: owned by the host's decision loop.
 */
public final class ConcurrencyLimit {
    /** Share of the slots given to a cold endpoint, and at least to any other. */
    public static final double COLD_SHARE = 0.25;

    private static final double DECREASE_FACTOR = 0.9;
    private static final long DECREASE_PAUSE_MICROS = 50_000;

    private final int slots;
    private final double least;
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
        this.least = Math.max(1, slots * COLD_SHARE);
        this.limit = least;
    }

    /**
     * Returns the executions allowed at a time.
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

    /** Notes an execution that the endpoint accepted and finished. */
    public void succeeded() {
        limit = Math.min(slots, limit + 1);
    }

    /**
     * Notes that the endpoint rejected work or did not answer in time.
     *
     * @param nowMicros current time
     */
    public void rejected(long nowMicros) {
        if (nowMicros < nextDecreaseMicros) {
            return;
        }
        nextDecreaseMicros = nowMicros + DECREASE_PAUSE_MICROS;
        limit = Math.max(least, limit * DECREASE_FACTOR);
    }
}
