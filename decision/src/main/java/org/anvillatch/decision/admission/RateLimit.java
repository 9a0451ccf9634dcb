package org.anvillatch.decision.admission;

/**
 * Limit on the executions that start at one endpoint per second, as named by the endpoint in its answers: a token bucket
 * that is empty when the limit is named first. The limit ends when the answers cease to name it.
 *
 * <p>Invariant: in any period of {@code t} seconds for which the limit is {@code r}, at most {@code r * (t + 0.1) + 1}
 * executions start, {@code r} being at least {@link #MIN_PER_SECOND}. Not thread safe: owned by the host's decision
 * loop.
 */
final class RateLimit {
    /**
     * Minimum limit, in executions per second. Only answers can show that the limit has ended, so an endpoint that
     * names a limit of 0 still gets a request now and then.
     */
    static final double MIN_PER_SECOND = 0.5;

    /** Time for which the limit outlasts the last answer that named it, in microseconds: some answers lack the field. */
    static final long HOLD_MICROS = 1_000_000;

    /** Time for which unused starts accumulate, in microseconds; several ticks of the host. */
    private static final long BURST_MICROS = 100_000;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private double perSecond = Double.POSITIVE_INFINITY;
    private double tokens;
    private long refilledMicros;
    private long namedMicros;

    /**
     * Applies the limit in an answer.
     *
     * @param named executions per second, not finite if the answer names no limit
     * @param nowMicros current time in microseconds
     */
    void update(double named, long nowMicros) {
        if (!Double.isFinite(named)) {
            if (nowMicros - namedMicros >= HOLD_MICROS) {
                perSecond = Double.POSITIVE_INFINITY;
            }
            return;
        }
        if (isLimited()) {
            refill(nowMicros);
        } else {
            tokens = 0;
            refilledMicros = nowMicros;
        }
        perSecond = Math.max(MIN_PER_SECOND, named);
        namedMicros = nowMicros;
    }

    /**
     * Returns whether the endpoint names a limit.
     *
     * @return false if any number of executions may start
     */
    boolean isLimited() {
        return Double.isFinite(perSecond);
    }

    /**
     * Returns the limit in force.
     *
     * @return executions per second, positive infinity if there is none
     */
    double perSecond() {
        return perSecond;
    }

    /**
     * Returns whether an execution may start now.
     *
     * @param nowMicros current time in microseconds
     * @return false if the limit is used up
     */
    boolean permitsStart(long nowMicros) {
        if (!isLimited()) {
            return true;
        }
        refill(nowMicros);
        return tokens >= 1;
    }

    /** Counts an execution that starts, for which {@link #permitsStart} has returned true. */
    void recordStart() {
        if (isLimited()) {
            tokens--;
        }
    }

    /**
     * Returns the mean number of executions that run at a time if as many start as the limit permits (Little's law).
     *
     * @param durationMicros mean duration of an execution in microseconds
     * @return at least 1; the largest integer without a limit
     */
    int concurrency(double durationMicros) {
        if (!isLimited()) {
            return Integer.MAX_VALUE;
        }
        return (int) Math.ceil(Math.max(1, perSecond * durationMicros / MICROS_PER_SECOND));
    }

    private void refill(long nowMicros) {
        double gained = (nowMicros - refilledMicros) * perSecond / MICROS_PER_SECOND;
        double capacity = 1 + perSecond * BURST_MICROS / MICROS_PER_SECOND;
        tokens = Math.min(capacity, tokens + gained);
        refilledMicros = nowMicros;
    }
}
