package org.anvillatch.decision.admission;

/**
 * What the nested calls of one request have met, down to the leaves. Immutable and thread safe.
 *
 * @param waitedMicros time that they waited for slots, in microseconds
 * @param refused whether one of them was refused
 * @param called whether there was any
 * @param ranMicros time that they ran, in microseconds
 */
public record NestedWait(long waitedMicros, boolean refused, boolean called, long ranMicros) {
    /** No call was made. */
    public static final NestedWait NONE = new NestedWait(0, false, false, 0);

    /**
     * Creates the wait of calls that were made.
     *
     * @param waitedMicros time that they waited for slots, in microseconds
     * @param refused whether one of them was refused
     */
    public NestedWait(long waitedMicros, boolean refused) {
        this(waitedMicros, refused, true, 0);
    }

    /**
     * Adds what one more call has met.
     *
     * @param micros time that it waited, in microseconds
     * @param wasRefused whether it was refused
     * @return the sum
     */
    public NestedWait plus(long micros, boolean wasRefused) {
        return new NestedWait(waitedMicros + micros, refused || wasRefused, true, ranMicros);
    }

    /**
     * Adds the execution of one more call.
     *
     * @param micros time that it ran, in microseconds
     * @return the sum
     */
    public NestedWait plusRun(long micros) {
        return new NestedWait(waitedMicros, refused, true, ranMicros + micros);
    }
}
