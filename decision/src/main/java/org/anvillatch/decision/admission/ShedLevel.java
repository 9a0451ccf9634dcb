package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.Rank;

/**
 * The lowest rank that one endpoint admits. Work of lower rank is refused before it queues.
 *
 * <p>At the end of each window the level is set so that the arrivals of that window, counted by rank, would have
 * matched what the endpoint completed (after DAGOR, SoCC 2018). A window without overload multiplies what is let in,
 * so the level falls within a few windows after the overload ends.
 *
 * <p>Invariant: {@code 0 <= level <= Rank.LIMIT}. Not thread safe: owned by the host's decision loop.
 */
public final class ShedLevel {
    /** Length of a window in microseconds. */
    public static final long WINDOW_MICROS = 50_000;

    private static final int LEAST_ARRIVALS = 8;
    private static final double OVERLOADED_FACTOR = 1.02;
    private static final double RECOVERY_FACTOR = 1.25;

    private final int[] arrivals = new int[Rank.LIMIT];
    private int arrivalCount;
    private int completions;
    private int level;
    private boolean overloaded;
    private double recovery = RECOVERY_FACTOR;
    private long windowEndMicros;

    /**
     * Counts an arrival, whether it is admitted or refused.
     *
     * @param rank rank of the request
     */
    public void arrived(int rank) {
        arrivals[rank]++;
        arrivalCount++;
    }

    /** Counts an execution that the endpoint finished. */
    public void completed() {
        completions++;
    }

    /** Notes that work waited longer than the target, or was evicted, in this window. */
    public void overload() {
        overloaded = true;
    }

    /**
     * Returns the level in force.
     *
     * @return lowest admitted rank
     */
    public int level() {
        return level;
    }

    /**
     * Closes the window if its time has come.
     *
     * @param nowMicros current time
     */
    public void advance(long nowMicros) {
        if (nowMicros < windowEndMicros) {
            return;
        }
        boolean idle = nowMicros - windowEndMicros > WINDOW_MICROS * 4;
        windowEndMicros = nowMicros + WINDOW_MICROS;
        if (idle) {
            level = 0;
        } else if (overloaded) {
            raise();
        } else {
            lower();
        }
        reset();
    }

    private void raise() {
        recovery = RECOVERY_FACTOR;
        if (arrivalCount < LEAST_ARRIVALS) {
            return;
        }
        int target = (int) Math.ceil(completions * OVERLOADED_FACTOR);
        level = Math.max(levelThatAdmits(target), level / 2);
    }

    private void lower() {
        if (level == 0) {
            return;
        }
        int admitted = countFrom(level);
        int target = (int) Math.ceil(Math.max(admitted, completions) * recovery) + 1;
        recovery *= RECOVERY_FACTOR;
        level = Math.min(level, levelThatAdmits(target));
    }

    private int levelThatAdmits(int target) {
        int sum = 0;
        for (int rank = Rank.LIMIT - 1; rank >= 0; rank--) {
            sum += arrivals[rank];
            if (sum > target) {
                return rank + 1;
            }
        }
        return 0;
    }

    private int countFrom(int rank) {
        int sum = 0;
        for (int index = rank; index < Rank.LIMIT; index++) {
            sum += arrivals[index];
        }
        return sum;
    }

    private void reset() {
        java.util.Arrays.fill(arrivals, 0);
        arrivalCount = 0;
        completions = 0;
        overloaded = false;
    }
}
