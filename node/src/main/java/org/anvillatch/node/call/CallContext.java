package org.anvillatch.node.call;

/**
 * Identity of a call within its root request. Immutable and thread safe.
 *
 * @param root identity of the root request, normally chosen by the caller
 * @param attempt number of the caller's attempt: 0 for the first, 1 for the first retry, and so on
 * @param path position in the call tree: the root request's identity, or the parent execution and the number of the
 *     nested call
 * @param rank shedding order; calls with a lower rank are refused first
 * @param atMostOnce whether neither the operation of the call nor that of any ancestor is idempotent, so that each of
 *     them is executed at most once; always false for requests that are forwarded unchanged
 * @param traceparent W3C trace context, may be empty
 * @param team name of the team to which the call tree belongs, empty if it belongs to none
 * @param keyId id of the API key by which the root request was accepted; empty for requests without one and for nested
 *     calls, which continue when the key is revoked
 */
public record CallContext(
        String root,
        int attempt,
        String path,
        int rank,
        boolean atMostOnce,
        String traceparent,
        String team,
        String keyId) {
    /** Replaces what a host of an earlier version does not send. */
    public CallContext {
        team = team == null ? "" : team;
        keyId = keyId == null ? "" : keyId;
    }

    /** Creates the context of a call that belongs to no team. */
    public CallContext(String root, int attempt, String path, int rank, boolean atMostOnce, String traceparent) {
        this(root, attempt, path, rank, atMostOnce, traceparent, "", "");
    }

    /**
     * Returns whether the call was made by an execution of another call.
     *
     * @return false for the root request
     */
    public boolean isNested() {
        return !path.equals(root);
    }
}
