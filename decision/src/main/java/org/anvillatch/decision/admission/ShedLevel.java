package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.Rank;

/**
 * The lowest rank that one endpoint wants its senders to send, so that they refuse before work is spent on what would be
 * refused here.
 *
 * <p>The level follows the queue (after DAGOR, SoCC 2018). While the queue is longer than its target, the level rises past
 * the share of the arrivals by which they exceed what is served; while the queue is short it falls, faster the longer that
 * lasts, so that the end of the overload ends the refusals. Requests that were admitted go on sending nested calls for a
 * while, so each step makes up for a part of the excess only. The gains keep the load of {@code DeepTreeOverloadTest} within
 * its bounds.
 *
 * <p>Invariant: {@code 0 <= level <= Rank.LIMIT}. Not thread safe: owned by the host's decision loop.
 */
public final class ShedLevel {
    /** Time between two adjustments, in microseconds. */
    public static final long STEP_MICROS = 100_000;

    /** Time in which a count decays to about a third, in microseconds. */
    public static final long DECAY_MICROS = 300_000;

    /** Part of the excess arrivals that one step excludes; requests last for several steps. */
    public static final double GAIN = 0.5;

    /** Part of the queue beyond its target that counts as excess of one step. */
    public static final double QUEUE_GAIN = 0.1;

    /** Largest part of the arrivals that one step excludes. */
    public static final double LARGEST_STEP = 0.4;

    /** Part of its target below which the queue counts as short. */
    public static final double SHORT_QUEUE = 0.6;

    private static final double KEPT = Math.exp(-(double) STEP_MICROS / DECAY_MICROS);
    private static final double LEAST_ARRIVALS = 0.01;
    private static final double FIRST_FALL = 2;
    private static final double FALL_GROWTH = 1.05;

    private final double[] arrivals = new double[Rank.LIMIT];
    private int arrivedInStep;
    private int endedInStep;
    private double queueInStep;
    private int looksInStep;
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
        arrivedInStep++;
    }

    /** Counts work that has left: executed, refused or dropped. */
    public void ended() {
        endedInStep++;
    }

    /**
     * Returns the level.
     *
     * @return lowest rank that senders should send
     */
    public int level() {
        return (int) level;
    }

    /**
     * Looks at the queue, and adjusts the level if a step has passed.
     *
     * @param queueLength work that waits
     * @param queueTarget work that may wait without being a sign of overload
     * @param nowMicros current time
     */
    public void advance(int queueLength, int queueTarget, long nowMicros) {
        queueInStep += queueLength;
        looksInStep++;
        if (nowMicros < nextStepMicros) {
            return;
        }
        nextStepMicros = nowMicros + STEP_MICROS;
        double queue = queueInStep / looksInStep;
        if (queue > queueTarget) {
            fall = FIRST_FALL;
            raise(Math.max(0, arrivedInStep - endedInStep) + (queue - queueTarget) * QUEUE_GAIN);
        } else if (queue < queueTarget * SHORT_QUEUE) {
            level = Math.max(0, level - fall);
            fall = Math.min(Rank.BUCKETS, fall * FALL_GROWTH);
        }
        decay();
    }

    private void raise(double excess) {
        double share = Math.min(LARGEST_STEP, GAIN * excess / Math.max(1, arrivedInStep));
        double toExclude = share * arrivalsFrom((int) level);
        int highest = highestRankSeen();
        for (int rank = (int) level; rank < highest && toExclude > 0; rank++) {
            toExclude -= arrivals[rank];
            level = rank + 1;
        }
    }

    private double arrivalsFrom(int rank) {
        double sum = 0;
        for (int index = rank; index < Rank.LIMIT; index++) {
            sum += arrivals[index];
        }
        return sum;
    }

    /** Ranks above all arrivals are empty, and would let the level run away. */
    private int highestRankSeen() {
        int rank = Rank.LIMIT - 1;
        while (rank > 0 && arrivals[rank] < LEAST_ARRIVALS) {
            rank--;
        }
        return rank;
    }

    private void decay() {
        for (int rank = 0; rank < arrivals.length; rank++) {
            arrivals[rank] *= KEPT;
        }
        arrivedInStep = 0;
        endedInStep = 0;
        queueInStep = 0;
        looksInStep = 0;
    }
}
