package org.anvillatch.node.decisionlog;

/**
 * One decision, as it is logged and shown to operators. Immutable and thread safe.
 *
 * @param atMillis wall clock time in milliseconds since 1970
 * @param node host that decided
 * @param kind what was decided
 * @param request identity of the root request
 * @param attempt number of the caller's send
 * @param operation service and operation
 * @param importance position of the importance, 0 for the least
 * @param candidate host that was considered, may be empty
 * @param result outcome or choice
 * @param reason why, may be empty
 * @param level shed level that was applied
 * @param retriesLeft retries left to the call
 */
public record Decision(
        long atMillis,
        String node,
        Kind kind,
        String request,
        int attempt,
        String operation,
        int importance,
        String candidate,
        String result,
        String reason,
        int level,
        int retriesLeft) {
    /** What was decided. */
    public enum Kind {
        /** Which host gets a call. */
        ROUTE,
        /** Whether work starts, waits or is refused at its endpoint. */
        ADMIT,
        /** Which attempt of an idempotency key runs. */
        CLAIM,
        /** What the caller is told. */
        ANSWER
    }

    /**
     * Tells whether the decision lets its request go on as usual.
     *
     * @return false for refusals, failures and unknown outcomes
     */
    public boolean isRoutine() {
        return result.equals("chosen") || result.equals("start") || result.startsWith("complete");
    }
}
