package org.anvillatch.node.decisionlog;

/**
 * A decision as it is logged and shown to operators. Immutable and thread safe.
 *
 * @param atMillis wall clock time of the decision, in milliseconds since 1970
 * @param node name of the host that decided
 * @param kind what was decided
 * @param request identifier of the root request
 * @param attempt number of the caller's attempt, 0 for the first
 * @param operation service and operation
 * @param importance index of the importance, 0 for the least important
 * @param candidate name of the host that was considered, may be empty
 * @param result outcome of the call or result of the decision
 * @param reason reason for the result, may be empty
 * @param level shed level that was applied
 * @param retriesLeft number of retries that the call has left
 * @param team name of the team to which the request belongs, empty if it belongs to none
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
        int retriesLeft,
        String team) {
    /** Replaces what a host of an earlier version does not send. */
    public Decision {
        team = team == null ? "" : team;
    }

    /** What was decided. */
    public enum Kind {
        /** Which host a call is sent to. */
        ROUTE,
        /** Whether a call is started, queued or refused by the gatekeeper of its endpoint. */
        ADMIT,
        /** Which attempt of an idempotency key runs. */
        CLAIM,
        /** Which outcome is returned to the caller. */
        ANSWER
    }

    /**
     * Returns whether the request proceeds normally after this decision.
     *
     * @return false for refusals, failures and unknown outcomes
     */
    public boolean isRoutine() {
        return result.equals("chosen") || result.equals("start") || result.startsWith("complete");
    }
}
