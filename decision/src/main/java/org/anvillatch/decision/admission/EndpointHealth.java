package org.anvillatch.decision.admission;

/**
 * Passive outlier detection for one endpoint: detects from the results of executions that the endpoint itself fails
 * work, whatever its health check reports. The gatekeeper sees every execution of its endpoint, so it detects a fault
 * after far fewer executions than any single sender could.
 *
 * <p>Invariant: an endpoint that gets no work is considered healthy again after at most {@code MAX_EJECTION_MICROS}.
 * Not thread safe: owned by the host's decision loop.
 */
final class EndpointHealth {
    /**
     * Fraction of faulty executions at which the endpoint is considered failing. At this fraction, a call tree of eight
     * calls succeeds less than half of the time.
     */
    static final double FAULT_RATIO_THRESHOLD = 0.1;

    /** Minimum number of faults, weighted by age; fewer may be chance. */
    static final double MIN_FAULTS = 3;

    /** Half-life of an execution's weight, in microseconds. */
    private static final double HALF_LIFE_MICROS = 1_000_000;

    /** Maximum total weight of executions; a busy endpoint forgets old executions faster than by half-life alone. */
    private static final double MAX_WEIGHT = 100;

    /** Initial ejection time, during which other endpoints are preferred, in microseconds. */
    static final long BASE_EJECTION_MICROS = 1_000_000;

    /** Maximum ejection time, in microseconds: short enough that a caller with a deadline of seconds can outlast it. */
    static final long MAX_EJECTION_MICROS = 4_000_000;

    /** Time after the end of an ejection within which a new ejection lasts twice as long, in microseconds. */
    private static final long RELAPSE_WINDOW_MICROS = 4_000_000;

    private double executions;
    private double faults;
    private long decayedMicros;
    private long ejectionMicros = BASE_EJECTION_MICROS;
    private long failingUntilMicros = Long.MIN_VALUE;

    /**
     * Records an execution that has ended.
     *
     * @param fault whether the endpoint itself failed it
     * @param nowMicros current time in microseconds
     */
    void recordExecution(boolean fault, long nowMicros) {
        decay(nowMicros);
        executions++;
        if (!fault) {
            return;
        }
        faults++;
        if (!isFailing(nowMicros) && faults >= MIN_FAULTS && faults >= executions * FAULT_RATIO_THRESHOLD) {
            boolean relapse =
                    failingUntilMicros != Long.MIN_VALUE && nowMicros - failingUntilMicros < RELAPSE_WINDOW_MICROS;
            ejectionMicros = relapse ? Math.min(MAX_EJECTION_MICROS, ejectionMicros * 2) : BASE_EJECTION_MICROS;
            failingUntilMicros = nowMicros + ejectionMicros;
            faults = 0;
            executions = 0;
        }
    }

    private void decay(long nowMicros) {
        double ageFactor = Math.pow(0.5, (nowMicros - decayedMicros) / HALF_LIFE_MICROS);
        double factor = Math.min(ageFactor, MAX_WEIGHT / Math.max(MAX_WEIGHT, executions));
        executions *= factor;
        faults *= factor;
        decayedMicros = nowMicros;
    }

    /**
     * Returns whether other endpoints should be preferred.
     *
     * @param nowMicros current time in microseconds
     * @return true for a bounded time after faults were detected
     */
    boolean isFailing(long nowMicros) {
        return nowMicros < failingUntilMicros;
    }
}
