package org.anvillatch.decision.allowance;

/** An action that the host must perform after a decision of the {@link AllowanceAgent}. Immutable and thread safe. */
public sealed interface AllowanceAction {
    /**
     * Ask the owner of a slot for tokens, and report the answer or its absence to the agent.
     *
     * @param owner name of the host that owns the slot
     * @param request the request; if it needs no token, it only gives some back, and its answer is not reported
     */
    record Ask(String owner, TokenRequest request) implements AllowanceAction {}

    /**
     * Ask a host to confirm that this host owns a slot, and report the answer.
     *
     * @param witness name of the host
     * @param slot the slot
     */
    record Claim(String witness, SlotId slot) implements AllowanceAction {}

    /**
     * Admit a request.
     *
     * @param ticket number of the request
     */
    record Grant(long ticket) implements AllowanceAction {}

    /**
     * Refuse a request.
     *
     * @param ticket number of the request
     * @param retryMicros time after which the caller may try again, in microseconds
     */
    record Refuse(long ticket, long retryMicros) implements AllowanceAction {}
}
