package org.anvillatch.decision.rejection;

/**
 * A call that an endpoint has rejected. Immutable and thread safe.
 *
 * @param progress progress of its call tree
 * @param rank rank of its root request
 * @param retryable whether the sender may retry it at all
 * @param holdUntilMicros time until which it can wait for a retry, in microseconds
 */
public record RejectedCall(CallProgress progress, int rank, boolean retryable, long holdUntilMicros) {}
