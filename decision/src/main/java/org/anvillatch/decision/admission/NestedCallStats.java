package org.anvillatch.decision.admission;

/**
 * What the nested calls of one request have met, down to the leaves. Immutable and thread safe.
 *
 * @param queuedMicros time that they waited for slots, in microseconds
 * @param refused whether one of them was refused
 * @param called whether there was any
 * @param executionMicros time that they ran, in microseconds
 */
public record NestedCallStats(long queuedMicros, boolean refused, boolean called, long executionMicros) {
    /** No call was made. */
    public static final NestedCallStats NONE = new NestedCallStats(0, false, false, 0);

    /**
     * Creates the wait of calls that were made.
     *
     * @param queuedMicros time that they waited for slots, in microseconds
     * @param refused whether one of them was refused
     */
    public NestedCallStats(long queuedMicros, boolean refused) {
        this(queuedMicros, refused, true, 0);
    }

    /**
     * Adds what one more call has met.
     *
     * @param micros time that it waited, in microseconds
     * @param wasRefused whether it was refused
     * @return the sum
     */
    public NestedCallStats plus(long micros, boolean wasRefused) {
        return new NestedCallStats(queuedMicros + micros, refused || wasRefused, true, executionMicros);
    }

    /**
     * Adds the execution of one more call.
     *
     * @param micros time that it ran, in microseconds
     * @return the sum
     */
    public NestedCallStats plusExecution(long micros) {
        return new NestedCallStats(queuedMicros, refused, true, executionMicros + micros);
    }
}
