package org.anvillatch.decision.rejection;

/**
 * Estimates which fraction of its recent arrivals an endpoint rejects.
 *
 * <p>Invariants: the ratio is known only from at least {@link #MIN_REJECTIONS} recent rejections; without arrivals, it
 * is forgotten. Not thread safe: owned by the host's decision loop.
 */
final class RejectionRatio {
    /**
     * Time constant of the exponential decay of arrivals, in microseconds: at a rejection of two in five, the ratio falls
     * below {@link #MIN_RATIO} 0.35 s after the last rejection, which leaves the remainder of a second for the news.
     */
    static final double DECAY_MICROS = 250_000;

    /** Minimum weight of the recent rejections; fewer may be chance. */
    static final double MIN_REJECTIONS = 2;

    /** Minimum ratio that counts; below it the retries of the ordinary bound suffice. */
    static final double MIN_RATIO = 0.1;

    private double arrivals;
    private double rejections;
    private long decayedMicros;
    private boolean known;

    void record(boolean rejected, long nowMicros) {
        decay(nowMicros);
        arrivals++;
        rejections += rejected ? 1 : 0;
        known = known || rejections >= MIN_REJECTIONS;
    }

    private void decay(long nowMicros) {
        double factor = Math.exp((decayedMicros - nowMicros) / DECAY_MICROS);
        arrivals *= factor;
        rejections *= factor;
        decayedMicros = nowMicros;
    }

    /** Returns the ratio, or 0 if it is not known or too low to matter. */
    double ratio(long nowMicros) {
        decay(nowMicros);
        // Once known, the ratio stays known until it is low or the endpoint gets no requests.
        known = known && arrivals >= MIN_RATIO && rejections >= arrivals * MIN_RATIO;
        return known ? rejections / arrivals : 0;
    }
}
