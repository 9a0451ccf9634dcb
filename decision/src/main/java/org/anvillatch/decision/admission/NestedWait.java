package org.anvillatch.decision.admission;

/**
 * What the nested calls of one request have met, down to the leaves. Immutable and thread safe.
 *
 * @param waitedMicros time that they waited for slots, in microseconds
 * @param refused whether one of them was refused
 */
public record NestedWait(long waitedMicros, boolean refused) {
    /** No call has waited. */
    public static final NestedWait NONE = new NestedWait(0, false);

    /**
     * Adds what one more call has met.
     *
     * @param micros time that it waited, in microseconds
     * @param wasRefused whether it was refused
     * @return the sum
     */
    public NestedWait plus(long micros, boolean wasRefused) {
        return new NestedWait(waitedMicros + micros, refused || wasRefused);
    }
}
