package org.anvillatch.node.call;

/**
 * Identity of a call within its root request. Immutable and thread safe.
 *
 * @param root identity of the root request, chosen by the caller
 * @param attempt 0 for the caller's first send, then 1 for each re-send
 * @param path place of the call: the root's identity, or the parent's execution and the number of the nested call
 * @param rank order of refusal
 * @param atMostOnce true if no ancestor of the call can be executed twice
 * @param traceparent W3C trace context, may be empty
 */
public record CallContext(String root, int attempt, String path, int rank, boolean atMostOnce, String traceparent) {
    /**
     * Tells whether the call serves another one that has begun to run.
     *
     * @return false for the root request itself
     */
    public boolean isNested() {
        return !path.equals(root);
    }
}
