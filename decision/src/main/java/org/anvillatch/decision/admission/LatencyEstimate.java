package org.anvillatch.decision.admission;

/**
 * Mean latency of one operation at one endpoint. Work that cannot meet its deadline by this estimate is refused, and
 * refused work yields no samples; so that an estimate that refuses all work does not stay in force, refusals lower it
 * while there are no samples.
 *
 * <p>Invariant: the estimate is at least 0. Not thread safe: owned by the host's decision loop.
 */
final class LatencyEstimate {
    /** Time without a sample after which a refusal lowers the estimate, in microseconds. */
    static final long RENEWAL_MICROS = 100_000;

    private static final double EWMA_WEIGHT = 0.1;
    private static final double REFUSAL_FACTOR = 0.9;

    private double micros;
    private long updatedMicros;

    /**
     * Creates the estimate from its first sample.
     *
     * @param firstMicros latency of an execution in microseconds
     * @param nowMicros current time in microseconds
     */
    LatencyEstimate(long firstMicros, long nowMicros) {
        micros = firstMicros;
        updatedMicros = nowMicros;
    }

    /**
     * Adds the latency of an execution.
     *
     * @param sampleMicros latency in microseconds
     * @param nowMicros current time in microseconds
     */
    void addSample(long sampleMicros, long nowMicros) {
        micros += (sampleMicros - micros) * EWMA_WEIGHT;
        updatedMicros = nowMicros;
    }

    /**
     * Records that work was refused because of the estimate.
     *
     * @param nowMicros current time in microseconds
     */
    void recordRefusal(long nowMicros) {
        if (nowMicros - updatedMicros >= RENEWAL_MICROS) {
            micros *= REFUSAL_FACTOR;
            updatedMicros = nowMicros;
        }
    }

    /**
     * Returns the estimate.
     *
     * @return mean latency in microseconds
     */
    double micros() {
        return micros;
    }
}
