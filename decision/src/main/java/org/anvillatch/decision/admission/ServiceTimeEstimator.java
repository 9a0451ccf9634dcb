package org.anvillatch.decision.admission;

/**
 * The usual time of an execution at one endpoint without its calls, as it is told to other hosts. A sender that sees a few
 * executions a second learns it late, the gatekeeper beside the endpoint sees them all.
 *
 * <p>Invariant: what is told changes by a quarter at least, so that it costs little gossip. Not thread safe: owned by the
 * host's decision loop.
 */
final class ServiceTimeEstimator {
    /** Executions before anything is told; fewer scatter by more than the quarter that is told. */
    static final int LEAST_EXECUTIONS = 20;

    /** Weight of one execution: the mean of about forty, whose spread is a sixth where times are exponential. */
    private static final double WEIGHT = 0.05;

    /** Change, as a factor either way, that is told. */
    private static final double TOLD_FACTOR = 1.25;

    private int executions;
    private double meanMicros;
    private long toldMicros;

    /**
     * Learns from an execution that succeeded.
     *
     * @param micros its time without its calls, in microseconds
     */
    void ended(long micros) {
        executions++;
        meanMicros += (micros - meanMicros) * Math.max(WEIGHT, 1.0 / executions);
        if (executions < LEAST_EXECUTIONS) {
            return;
        }
        double change = toldMicros == 0 ? Double.MAX_VALUE : meanMicros / toldMicros;
        if (change > TOLD_FACTOR || change < 1 / TOLD_FACTOR) {
            toldMicros = Math.max(1, (long) meanMicros);
        }
    }

    /**
     * Returns the time to tell.
     *
     * @return microseconds, or 0 while not known
     */
    long micros() {
        return toldMicros;
    }
}
