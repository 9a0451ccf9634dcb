package org.anvillatch.decision.model;

/**
 * Positions in a stream of the platform's log. The log may be restored from an older copy; then it starts a new history
 * and gives out offsets again. A position is a number that contains both: the history in the high bits, and the offset
 * in the low {@value #OFFSET_BITS} bits. So positions of later histories are larger, the position of the next record is
 * one more, and positions of history 0 equal offsets. Stateless and thread safe.
 */
public final class LogPosition {
    private static final int OFFSET_BITS = 40;

    private LogPosition() {}

    /**
     * Returns the position of a record.
     *
     * @param history number of the log's history
     * @param offset offset of the record in that history
     * @return the position
     */
    public static long of(long history, long offset) {
        return (history << OFFSET_BITS) + offset;
    }

    /**
     * Returns the position before the first record of a history.
     *
     * @param history number of the log's history
     * @return a position that is larger than all positions of earlier histories
     */
    public static long beforeFirst(long history) {
        return of(history, -1);
    }

    /**
     * Returns the history to which a position belongs.
     *
     * @param position position of a record
     * @return number of the history
     */
    public static long historyOf(long position) {
        return position >> OFFSET_BITS;
    }

    /**
     * Returns the offset of a position.
     *
     * @param position position of a record
     * @return offset in the position's history
     */
    public static long offsetOf(long position) {
        return position & (1L << OFFSET_BITS) - 1;
    }
}
