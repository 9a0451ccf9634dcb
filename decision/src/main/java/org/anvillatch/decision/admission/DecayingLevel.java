package org.anvillatch.decision.admission;

/**
 * A shed level heard from another place. It counts in full while it is fresh, then halves at every half-life, so that
 * a level which is no longer confirmed cannot refuse work for long. Immutable and thread safe.
 *
 * @param level the level that was heard
 * @param receivedMicros when it was heard
 */
public record DecayingLevel(int level, long receivedMicros) {
    /** Age up to which a level counts in full, in microseconds. */
    public static final long FRESH_MICROS = 200_000;

    /** Time in which an older level halves, in microseconds. */
    public static final long HALF_LIFE_MICROS = 50_000;

    /** No level was heard. */
    public static final DecayingLevel NONE = new DecayingLevel(0, 0);

    /**
     * Returns what is left of the level.
     *
     * @param nowMicros current time
     * @return the level that still counts
     */
    public int at(long nowMicros) {
        long over = nowMicros - receivedMicros - FRESH_MICROS;
        if (over <= 0) {
            return level;
        }
        long halvings = over / HALF_LIFE_MICROS + 1;
        return halvings >= Integer.SIZE ? 0 : level >> halvings;
    }

    /**
     * Combines with a level of another source, for the average over sources.
     *
     * @param heard the level just heard
     * @param weight weight of what was heard, 0 to 1
     * @param nowMicros current time
     * @return the level to remember
     */
    public DecayingLevel averagedWith(int heard, double weight, long nowMicros) {
        int known = at(nowMicros);
        return new DecayingLevel((int) Math.round(known + (heard - known) * weight), nowMicros);
    }
}
