package org.anvillatch.decision.rejection;

/**
 * Which retry bound a dispatch counts against. Encoded by its ordinal, so constants may only be appended. Immutable and
 * thread safe.
 */
public enum CallStart {
    /** No endpoint has received the call before. */
    FIRST,
    /** A retry paid by a token of the sender. */
    RETRY,
    /** A retry granted by the gatekeeper whose endpoint rejected the call, which has counted it already. */
    GRANTED_RETRY
}
