package org.anvillatch.decision.admission;

/**
 * A shed level that was reported by another host. It counts in full while it is fresh, is halved when it becomes stale
 * and again after each half-life, so that a level that is no longer reported cannot cause refusals for long. Immutable
 * and thread safe.
 *
 * @param level the reported level
 * @param receivedMicros time at which it was received, in microseconds
 */
public record DecayingLevel(int level, long receivedMicros) {
    /** Maximum age at which a level counts in full, in microseconds. */
    public static final long FRESH_MICROS = 200_000;

    /** Half-life of a level that is no longer fresh, in microseconds. */
    public static final long HALF_LIFE_MICROS = 50_000;

    /** No level was reported. */
    public static final DecayingLevel NONE = new DecayingLevel(0, 0);

    /**
     * Returns the level after its decay.
     *
     * @param nowMicros current time in microseconds
     * @return the decayed level
     */
    public int at(long nowMicros) {
        long staleMicros = nowMicros - receivedMicros - FRESH_MICROS;
        if (staleMicros <= 0) {
            return level;
        }
        long halvings = staleMicros / HALF_LIFE_MICROS + 1;
        return halvings >= Integer.SIZE ? 0 : level >> halvings;
    }

    /**
     * Returns the exponentially weighted moving average of this level, after its decay, and a newly reported level. The
     * reports may come from different hosts.
     *
     * @param reported the newly reported level
     * @param weight weight of the new report, 0 to 1
     * @param nowMicros current time in microseconds
     * @return the average level
     */
    public DecayingLevel averagedWith(int reported, double weight, long nowMicros) {
        int current = at(nowMicros);
        return new DecayingLevel((int) Math.round(current + (reported - current) * weight), nowMicros);
    }
}
