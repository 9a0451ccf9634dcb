package org.anvillatch.decision.allowance;

/**
 * Answer of the host that was asked for tokens of a slot. Immutable and thread safe.
 *
 * @param slot the slot
 * @param owned false if the answering host does not own the slot
 * @param granted number of tokens, of which as many as were needed must be used at once
 * @param validMicros time after the request was sent for which the other tokens are valid, in microseconds
 * @param holdMicros time for which the slot need not be asked again if it granted less than needed, in microseconds
 * @param nextMicros time until the slot has a token again, in microseconds
 * @param horizonMicros time after which the callers that were refused have got a token each, in microseconds
 */
public record TokenAnswer(
        SlotId slot,
        boolean owned,
        int granted,
        long validMicros,
        long holdMicros,
        long nextMicros,
        long horizonMicros) {
    /**
     * Creates the answer of a host that does not own the slot.
     *
     * @param slot the slot
     * @return the answer
     */
    static TokenAnswer notOwned(SlotId slot) {
        return new TokenAnswer(slot, false, 0, 0, 0, 0, 0);
    }
}
