package org.anvillatch.decision.admission;

/**
 * Mean latency of the executions at one endpoint. Work that cannot meet its deadline by this estimate is refused, and
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

    private LatencyEstimate(long firstMicros) {
        micros = firstMicros;
    }

    /**
     * Adds the latency of an execution.
     *
     * @param estimate the estimate, null before the first sample
     * @param sampleMicros latency in microseconds
     * @param nowMicros current time in microseconds
     * @return the estimate with the sample; a new one for the first sample
     */
    static LatencyEstimate withSample(LatencyEstimate estimate, long sampleMicros, long nowMicros) {
        LatencyEstimate result = estimate == null ? new LatencyEstimate(sampleMicros) : estimate;
        result.micros += (sampleMicros - result.micros) * EWMA_WEIGHT;
        result.updatedMicros = nowMicros;
        return result;
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
