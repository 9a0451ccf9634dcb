package org.anvillatch.node.call;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

import org.anvillatch.decision.idempotency.ClaimResult;
import org.anvillatch.decision.idempotency.IssuedKey;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Runs calls with an idempotency key at most once. The owner of a key is the host incarnation that issued it, or that
 * was the first to claim it in the platform's log. Only the owner runs the call; other hosts forward it to the owner.
 *
 * <p>Invariant: a call with a key is routed only after the owner's ledger has permitted it. Owned by the decision loop:
 * all methods are called on it.
 */
public final class IdempotencyService {
    /** Time after the deadline in which the owner's answer may still arrive, in microseconds. */
    private static final long ANSWER_GRACE_MICROS = 40_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final CallRouter router;
    private final KeyClaimService claims;
    private final CallDecisionRecorder decisions;

    /**
     * Creates the service.
     *
     * @param loop loop that runs the callbacks
     * @param state decision state of this host
     * @param peers client for other hosts
     * @param router routes calls that may run
     * @param claims finds the owners of keys that callers chose
     * @param decisions records every decision
     */
    public IdempotencyService(
            DecisionLoop loop,
            HostState state,
            PeerClient peers,
            CallRouter router,
            KeyClaimService claims,
            CallDecisionRecorder decisions) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.router = router;
        this.claims = claims;
        this.decisions = decisions;
    }

    /**
     * Runs a call with an idempotency key on the key's owner.
     *
     * @param call the call; its key is an {@link IssuedKey} or a {@link org.anvillatch.decision.idempotency.UuidV7Key}
     * @param reply receives the answer, on the loop
     */
    public void run(Call call, Consumer<CallAnswer> reply) {
        Optional<IssuedKey> issuedKey = IssuedKey.parse(call.key());
        if (issuedKey.isPresent()) {
            runAtOwner(call, issuedKey.get().owner(), reply);
        } else {
            claims.resolve(
                    call.key(),
                    call.deadlineMicros(),
                    (resolution, owner) -> handleResolution(call, resolution, owner, reply));
        }
    }

    private void handleResolution(
            Call call, KeyClaimService.Resolution resolution, HostIdentity owner, Consumer<CallAnswer> reply) {
        switch (resolution) {
            case OWNED -> runAtOwner(call, owner, reply);
            case TOO_OLD ->
                reply.accept(CallAnswer.unknown("the key is older than the records that the log keeps", "", List.of()));
            default ->
                reply.accept(CallAnswer.refused(
                        RefusalReason.CLAIM_UNAVAILABLE,
                        "the key cannot be claimed: the platform's log does not answer; keys of POST /v1/keys still work",
                        CallAnswer.LoadReport.NONE,
                        call.retries(),
                        self().name()));
        }
    }

    private void runAtOwner(Call call, HostIdentity owner, Consumer<CallAnswer> reply) {
        if (owner.equals(self())) {
            runLocally(call, reply);
        } else {
            forwardToOwner(call, owner, reply);
        }
    }

    /**
     * Runs a call that another host has forwarded to this host as the owner of its key.
     *
     * @param call the call
     * @param reply receives the answer, on the loop
     */
    public void runAsOwner(Call call, Consumer<CallAnswer> reply) {
        Optional<IssuedKey> issuedKey = IssuedKey.parse(call.key());
        if (issuedKey.isEmpty()) {
            // The forwarding host may have read the claim before this host did, so this host reads the stream before it
            // decides.
            run(call, reply);
        } else if (issuedKey.get().owner().equals(self())) {
            runLocally(call, reply);
        } else {
            reply.accept(ownerUnavailable(issuedKey.get().owner()));
        }
    }

    private HostIdentity self() {
        return state.membership().self().host();
    }

    private void runLocally(Call call, Consumer<CallAnswer> reply) {
        ClaimResult claim = state.ledger().claim(call.key(), call.fingerprint());
        record(call, claim.verdict());
        if (claim.verdict() == ClaimResult.Verdict.RUN) {
            router.route(call, answer -> {
                state.ledger().recordOutcome(call.key(), answer.outcome());
                reply.accept(answer);
            });
        } else {
            reply.accept(answerWithoutRun(call, claim));
        }
    }

    private CallAnswer answerWithoutRun(Call call, ClaimResult claim) {
        String host = self().name();
        return switch (claim.verdict()) {
            case RUNNING -> CallAnswer.duplicate(Outcome.UNKNOWN, "an earlier attempt with this key is running", host);
            case ENDED ->
                CallAnswer.duplicate(
                        claim.firstOutcome(),
                        "an earlier attempt with this key ended: "
                                + claim.firstOutcome().wireName(),
                        host);
            case OTHER_REQUEST ->
                CallAnswer.duplicate(
                        Outcome.UNKNOWN, "the key was used for a request with another operation or body", host);
            case NEVER_ISSUED ->
                CallAnswer.refused(
                        RefusalReason.CLAIM_UNAVAILABLE,
                        "the key was never issued",
                        CallAnswer.LoadReport.NONE,
                        call.retries(),
                        host);
            case UNKNOWN ->
                CallAnswer.unknown("the key is older than what host " + host + " remembers", host, List.of());
            case RUN -> throw new IllegalArgumentException("a call that is to be run has no answer yet");
        };
    }

    private void forwardToOwner(Call call, HostIdentity ownerIdentity, Consumer<CallAnswer> reply) {
        Member owner = state.membership().find(ownerIdentity.name());
        if (owner == null || !owner.host().equals(ownerIdentity)) {
            reply.accept(ownerUnavailable(ownerIdentity));
            return;
        }
        long remaining = call.deadlineMicros() - loop.nowMicros();
        KeyedCallMessage message = new KeyedCallMessage(
                call.context(),
                call.operation(),
                call.policy(),
                call.body(),
                call.key(),
                call.fingerprint(),
                remaining,
                call.retries());
        peers.send(owner.address(), message, remaining + ANSWER_GRACE_MICROS, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage answer) {
                reply.accept(answer instanceof CallAnswer callAnswer ? callAnswer : ownerUnavailable(ownerIdentity));
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                reply.accept(ownerUnavailable(ownerIdentity));
            }
        });
    }

    private static CallAnswer ownerUnavailable(HostIdentity owner) {
        // An earlier attempt may have run on that host, so "not run" may be wrong even if nothing was sent this time.
        String detail = "host " + owner.name() + ", which owns the key, does not answer";
        return CallAnswer.unknown(detail, owner.name(), List.of());
    }

    private void record(Call call, ClaimResult.Verdict verdict) {
        String result = verdict.name().toLowerCase(Locale.ROOT);
        decisions.record(
                Decision.Kind.CLAIM,
                call.context(),
                call.operation(),
                new CallDecisionRecorder.DecisionDetails(self().name(), result, "", 0, call.retries()));
    }
}
