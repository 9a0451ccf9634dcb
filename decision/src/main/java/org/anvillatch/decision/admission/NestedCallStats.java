package org.anvillatch.decision.admission;

/**
 * Statistics of the nested calls of one request. Immutable and thread safe.
 *
 * @param queuedMicros total time that the calls and their own nested calls waited for slots, in microseconds
 * @param refused whether any of them was refused
 * @param called whether any nested call was made
 * @param executionMicros total execution time of the calls, in microseconds
 */
public record NestedCallStats(long queuedMicros, boolean refused, boolean called, long executionMicros) {
    /** No nested call was made. */
    public static final NestedCallStats NONE = new NestedCallStats(0, false, false, 0);

    /**
     * Creates statistics of at least one nested call.
     *
     * @param queuedMicros total time that the calls waited for slots, in microseconds
     * @param refused whether any of them was refused
     */
    public NestedCallStats(long queuedMicros, boolean refused) {
        this(queuedMicros, refused, true, 0);
    }

    /**
     * Adds the queue time and the refusal of one more call.
     *
     * @param micros time that the call waited for slots, in microseconds
     * @param wasRefused whether the call was refused
     * @return the updated statistics
     */
    public NestedCallStats plus(long micros, boolean wasRefused) {
        return new NestedCallStats(queuedMicros + micros, refused || wasRefused, true, executionMicros);
    }

    /**
     * Adds the execution time of one more call.
     *
     * @param micros execution time of the call, in microseconds
     * @return the updated statistics
     */
    public NestedCallStats plusExecution(long micros) {
        return new NestedCallStats(queuedMicros, refused, true, executionMicros + micros);
    }
}
