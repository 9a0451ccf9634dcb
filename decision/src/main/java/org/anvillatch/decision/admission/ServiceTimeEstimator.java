package org.anvillatch.decision.admission;

/**
 * Estimates the mean service time of one endpoint, which is advertised to other hosts. The service time is the time of
 * an execution without its nested calls. The gatekeeper next to the endpoint sees all executions, while a sender that
 * sees a few per second would take long to estimate it.
 *
 * <p>Invariant: successive advertised values differ by a factor of at least 1.25, so that they cause little gossip. Not
 * thread safe: owned by the host's decision loop.
 */
final class ServiceTimeEstimator {
    /** Minimum executions before a value is advertised; the mean of fewer varies by more than the advertised change. */
    static final int MIN_EXECUTIONS = 20;

    /**
     * Weight of one execution: averages about 40 executions, whose mean has a relative standard deviation of a sixth if
     * times are exponentially distributed.
     */
    private static final double EWMA_WEIGHT = 0.05;

    /** Minimum change that is advertised, as a factor in either direction. */
    private static final double MIN_CHANGE_FACTOR = 1.25;

    private int executions;
    private double meanMicros;
    private long advertisedMicros;

    /**
     * Adds the service time of a successful execution.
     *
     * @param micros service time in microseconds
     */
    void addSample(long micros) {
        executions++;
        meanMicros += (micros - meanMicros) * Math.max(EWMA_WEIGHT, 1.0 / executions);
        if (executions < MIN_EXECUTIONS) {
            return;
        }
        double change = advertisedMicros == 0 ? Double.MAX_VALUE : meanMicros / advertisedMicros;
        if (change > MIN_CHANGE_FACTOR || change < 1 / MIN_CHANGE_FACTOR) {
            advertisedMicros = Math.max(1, (long) meanMicros);
        }
    }

    /**
     * Returns the service time to advertise.
     *
     * @return microseconds, or 0 while not known
     */
    long micros() {
        return advertisedMicros;
    }
}
