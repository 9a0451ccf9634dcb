package org.anvillatch.node.decisionlog;

/**
 * Limits the rate of decision lines about requests that proceed normally. Above the limit only a fraction of these
 * requests is logged. They are selected by the hash of the root request, so that hosts with similar load log the same
 * requests. Decisions that are not routine are always logged. Thread safe.
 */
final class LineSampler {
    /** Rate up to which every line is written. Writing a line costs about as much as sending a frame. */
    static final int MAX_UNSAMPLED_LINES_PER_SECOND = 100;

    private static final long WINDOW_MILLIS = 1_000;

    private long windowEndMillis;
    private int linesInWindow;

    /** One in this many requests is logged while its decisions are routine. */
    private int divisor = 1;

    /**
     * Counts a decision and returns whether its line is written.
     *
     * @param decision the decision
     * @return true if the line is written
     */
    synchronized boolean shouldWrite(Decision decision) {
        if (decision.atMillis() >= windowEndMillis || decision.atMillis() < windowEndMillis - WINDOW_MILLIS) {
            windowEndMillis = decision.atMillis() + WINDOW_MILLIS;
            // With powers of two, the requests that a higher divisor keeps are also kept by every lower one.
            divisor = Integer.highestOneBit(Math.max(1, linesInWindow / MAX_UNSAMPLED_LINES_PER_SECOND));
            linesInWindow = 0;
        }
        linesInWindow++;
        return !decision.isRoutine() || Math.floorMod(decision.request().hashCode(), divisor) == 0;
    }
}
