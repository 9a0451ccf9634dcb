package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.Rank;

/**
 * The lowest rank that an endpoint asks its senders to send. Senders refuse lower ranks themselves, before work is
 * spent on requests that would be refused here.
 *
 * <p>The level is controlled by the queue length (after DAGOR, SoCC 2018). While the queue is longer than its target,
 * each step raises the level to exclude some of the excess arrivals: those beyond the departures and a fraction of the
 * queue beyond its target. A step does not exclude all of the excess, because requests that were admitted continue to
 * send nested calls for a while. While the queue is short, the level falls, faster the longer this lasts, so that
 * refusals stop soon after the overload ends. The gains keep the load of {@code DeepTreeOverloadTest} within the bounds
 * of that test.
 *
 * <p>Invariant: {@code 0 <= level <= Rank.LIMIT}. Not thread safe: owned by the host's decision loop.
 */
public final class ShedLevel {
    /** Time between two adjustments of the level, in microseconds. */
    public static final long STEP_MICROS = 100_000;

    /** Time constant of the exponential decay of arrival counts, in microseconds. */
    public static final long DECAY_MICROS = 300_000;

    /** Fraction of the excess arrivals that one step excludes; less than 1 because requests last for several steps. */
    public static final double GAIN = 0.5;

    /** Fraction of the queue beyond its target that counts as excess in one step. */
    public static final double QUEUE_GAIN = 0.1;

    /** Maximum fraction of the arrivals that one step excludes. */
    public static final double MAX_STEP_RATIO = 0.4;

    /** Queue length, as a fraction of its target, below which the queue is short. */
    public static final double SHORT_QUEUE_RATIO = 0.6;

    private static final double DECAY_FACTOR = Math.exp(-(double) STEP_MICROS / DECAY_MICROS);
    /** Minimum decayed count of arrivals with which a rank counts as seen. */
    private static final double MIN_ARRIVALS = 0.01;

    /** Number of ranks by which the level falls in the first step with a short queue. */
    private static final double INITIAL_FALL = 2;

    private static final double FALL_GROWTH_FACTOR = 1.05;

    private final double[] arrivals = new double[Rank.LIMIT];
    private int arrivalsInStep;
    private int departuresInStep;
    private double queueSumInStep;
    private int samplesInStep;
    private double level;
    private double fall = INITIAL_FALL;
    private long nextStepMicros;

    /**
     * Counts an arrival, whether it is admitted or refused.
     *
     * @param rank rank of the request
     */
    public void recordArrival(int rank) {
        arrivals[rank]++;
        arrivalsInStep++;
    }

    /** Counts a departure: work that has ended or was refused. */
    public void recordDeparture() {
        departuresInStep++;
    }

    /**
     * Returns the current level.
     *
     * @return lowest rank that senders should send
     */
    public int level() {
        return (int) level;
    }

    /**
     * Adds a sample of the queue length, and adjusts the level if a step has passed.
     *
     * @param queueLength current length of the queue
     * @param queueTarget queue length up to which queued work does not count as overload
     * @param nowMicros current time in microseconds
     */
    public void sample(int queueLength, int queueTarget, long nowMicros) {
        queueSumInStep += queueLength;
        samplesInStep++;
        if (nowMicros < nextStepMicros) {
            return;
        }
        nextStepMicros = nowMicros + STEP_MICROS;
        double meanQueue = queueSumInStep / samplesInStep;
        if (meanQueue > queueTarget) {
            fall = INITIAL_FALL;
            raise(Math.max(0, arrivalsInStep - departuresInStep) + (meanQueue - queueTarget) * QUEUE_GAIN);
        } else if (meanQueue < queueTarget * SHORT_QUEUE_RATIO) {
            level = Math.max(0, level - fall);
            fall = Math.min(Rank.BUCKETS, fall * FALL_GROWTH_FACTOR);
        }
        decay();
    }

    private void raise(double excess) {
        double ratio = Math.min(MAX_STEP_RATIO, GAIN * excess / Math.max(1, arrivalsInStep));
        double toExclude = ratio * arrivalsFrom((int) level);
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

    /** Returns the highest rank that arrived recently, above which the level must not rise: no work arrives there. */
    private int highestRankSeen() {
        int rank = Rank.LIMIT - 1;
        while (rank > 0 && arrivals[rank] < MIN_ARRIVALS) {
            rank--;
        }
        return rank;
    }

    private void decay() {
        for (int rank = 0; rank < arrivals.length; rank++) {
            arrivals[rank] *= DECAY_FACTOR;
        }
        arrivalsInStep = 0;
        departuresInStep = 0;
        queueSumInStep = 0;
        samplesInStep = 0;
    }
}
