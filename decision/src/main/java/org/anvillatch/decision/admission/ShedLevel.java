package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.Rank;

/**
 * The lowest rank that one endpoint wants its senders to send. The endpoint's own queue refuses by eviction, which never
 * leaves a slot idle; the level tells senders to refuse earlier, before work is spent on what would be evicted.
 *
 * <p>Arrivals are counted by rank and pressed in total, with exponential decay. While more than a small part of the
 * arrivals is evicted, the level rises past a share of the arrivals in proportion (after DAGOR, SoCC 2018). While slots are
 * idle the level falls, faster the longer that lasts, so that the end of the overload ends the refusals.
 *
 * <p>Invariant: {@code 0 <= level <= Rank.LIMIT}. Not thread safe: owned by the host's decision loop.
 */
public final class ShedLevel {
    /** Time between two adjustments, in microseconds. */
    public static final long STEP_MICROS = 25_000;

    /** Time in which a count decays to about a third, in microseconds. */
    public static final long DECAY_MICROS = 300_000;

    /** Share of evicted arrivals above which the level rises. */
    public static final double HIGH_PRESSURE = 0.05;

    /** Share of the excess arrivals that one step excludes. */
    public static final double GAIN = 0.15;

    /** Excess above which the level rises at once as far as it may. */
    public static final double JUMP_EXCESS = 0.2;

    /** What the level always admits, as a multiple of what is served. */
    public static final double SERVED_FACTOR = 1.05;

    private static final double KEPT = Math.exp(-(double) STEP_MICROS / DECAY_MICROS);
    private static final int LEAST_ARRIVALS = 4;
    private static final double FIRST_FALL = 0.7;
    private static final double FALL_GROWTH = 1.12;

    private final double[] arrivals = new double[Rank.LIMIT];
    private double arrivalCount;
    private double pressed;
    private double level;
    private double fall = FIRST_FALL;
    private long nextStepMicros;

    /**
     * Counts an arrival, whether it is admitted or refused.
     *
     * @param rank rank of the request
     */
    public void arrived(int rank) {
        arrivals[rank]++;
        arrivalCount++;
    }

    /** Counts work that was refused after it had arrived, because others ranked higher or its time ran out. */
    public void pressed() {
        pressed++;
    }

    /**
     * Returns the level in force.
     *
     * @return lowest rank that senders should send
     */
    public int level() {
        return (int) level;
    }

    /**
     * Adjusts the level if it is time.
     *
     * @param idle whether slots are free and nothing waits
     * @param nowMicros current time
     */
    public void advance(boolean idle, long nowMicros) {
        if (nowMicros < nextStepMicros) {
            return;
        }
        nextStepMicros = nowMicros + STEP_MICROS;
        double pressure = pressed / Math.max(LEAST_ARRIVALS, arrivalCount);
        if (idle) {
            level = Math.max(0, level - fall);
            fall = Math.min(Rank.BUCKETS, fall * FALL_GROWTH);
        } else {
            fall = FIRST_FALL;
            raise(pressure - HIGH_PRESSURE);
        }
        decay();
    }

    private void raise(double excess) {
        double toExclude = GAIN * excess * arrivalCount;
        // What is served now must stay admitted: ranks above the arrivals are empty, and would let the level run away.
        int highest = levelThatAdmits((arrivalCount - pressed) * SERVED_FACTOR);
        if (excess > JUMP_EXCESS) {
            level = Math.max(level, highest);
            return;
        }
        for (int rank = (int) level; rank < highest && toExclude > 0; rank++) {
            toExclude -= arrivals[rank];
            level = rank + 1;
        }
    }

    private int levelThatAdmits(double target) {
        double sum = 0;
        for (int rank = Rank.LIMIT - 1; rank >= 0; rank--) {
            sum += arrivals[rank];
            if (sum > target) {
                return rank;
            }
        }
        return 0;
    }

    private void decay() {
        for (int rank = 0; rank < arrivals.length; rank++) {
            arrivals[rank] *= KEPT;
        }
        arrivalCount *= KEPT;
        pressed *= KEPT;
    }
}
