package org.anvillatch.node.peer;

import java.util.List;

import org.anvillatch.decision.allowance.Roster;
import org.anvillatch.decision.allowance.SlotId;
import org.anvillatch.decision.allowance.TokenAnswer;
import org.anvillatch.decision.allowance.TokenRequest;

/** Messages between hosts about the allowances of teams. All are immutable and thread safe. */
public final class AllowanceMessages {
    private AllowanceMessages() {}

    /**
     * Asks the owner of slots for tokens.
     *
     * @param host name of the host that asks
     * @param requests one request for each slot
     */
    public record TokensRequest(String host, List<TokenRequest> requests) implements PeerMessage {}

    /**
     * Answers a request for tokens.
     *
     * @param answers one answer for each request, in the same order
     */
    public record TokensAnswer(List<TokenAnswer> answers) implements PeerMessage {}

    /**
     * Claims slots.
     *
     * @param slots slots of which the sender is the first host, and the receiver the second
     */
    public record ClaimRequest(List<SlotId> slots) implements PeerMessage {}

    /**
     * Answers a claim.
     *
     * @param rankings first two hosts of each slot in the view of the answering host, in the same order
     */
    public record ClaimAnswer(List<Roster.Ranking> rankings) implements PeerMessage {}
}
