package org.anvillatch.node.decisionlog;

/**
 * Bounds the lines about requests that go well. Beyond the bound only a share of the requests is kept, chosen by the hash of
 * the root request, so that hosts with a like load keep the lines of the same requests. Thread safe.
 */
final class LineSampler {
    /** Lines a second up to which every request is kept; a line costs about as much as a frame. */
    static final int FULL_RATE = 100;

    private static final long WINDOW_MILLIS = 1_000;

    private long windowEndMillis;
    private int offered;
    private int share = 1;

    /**
     * Decides about one line.
     *
     * @param decision the decision
     * @return true if its line is written
     */
    synchronized boolean keeps(Decision decision) {
        if (decision.atMillis() >= windowEndMillis || decision.atMillis() < windowEndMillis - WINDOW_MILLIS) {
            windowEndMillis = decision.atMillis() + WINDOW_MILLIS;
            // Powers of two, so that a smaller share is part of a larger one.
            share = Integer.highestOneBit(Math.max(1, offered / FULL_RATE));
            offered = 0;
        }
        offered++;
        return !decision.isRoutine() || Math.floorMod(decision.request().hashCode(), share) == 0;
    }
}
