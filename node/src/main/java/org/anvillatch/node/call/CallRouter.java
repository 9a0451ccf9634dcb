package org.anvillatch.node.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.retry.RetryBudget;
import org.anvillatch.decision.retry.RetryTokenBucket;
import org.anvillatch.decision.routing.EndpointSelector;
import org.anvillatch.decision.routing.LoadFeedback;
import org.anvillatch.decision.routing.RouteChoice;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Routes calls on the sending host: chooses an endpoint, dispatches the call to that endpoint's gatekeeper, and retries
 * while the outcome, the call's retry budget and the service's retry tokens permit.
 *
 * <p>Invariants: each call is answered exactly once; "not run" is answered only if every dispatch was refused by a
 * gatekeeper, rejected by the endpoint or never sent; a call that is not idempotent is dispatched again only after such
 * a dispatch. An idempotent call is also dispatched again if its outcome is unknown or if the endpoint itself failed
 * it, since another endpoint may succeed. Owned by the decision loop: all methods are called on it.
 */
public final class CallRouter {
    /** Time after the deadline in which another host's answer may still arrive, in microseconds. */
    private static final long ANSWER_GRACE_MICROS = 20_000;

    /**
     * Maximum number of times that a root request is sent to another host after an overload refusal. One second choice
     * balances the load (Mitzenmacher, "The Power of Two Choices", 2001); further ones only transfer request bodies
     * between failure domains.
     */
    private static final int MAX_OVERLOAD_REROUTES = 1;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final GatekeeperService gatekeeperService;
    private final CallDecisionRecorder decisions;
    private final MetricRegistry metrics;
    private final Supplier<RetryTokenBucket> newRetryBucket;
    private final Map<String, RetryTokenBucket> retryBuckets = new HashMap<>();
    private final Set<RoutedCall> openCalls = new HashSet<>();

    /**
     * Creates a router.
     *
     * @param loop loop that runs the callbacks
     * @param state decision state of this host
     * @param peers client for other hosts
     * @param gatekeeperService dispatches calls to this host's own endpoint
     * @param decisions records every decision
     * @param metrics registry for the counters
     * @param newRetryBucket creates the retry token bucket of a service that is called for the first time
     */
    public CallRouter(
            DecisionLoop loop,
            HostState state,
            PeerClient peers,
            GatekeeperService gatekeeperService,
            CallDecisionRecorder decisions,
            MetricRegistry metrics,
            Supplier<RetryTokenBucket> newRetryBucket) {
        this.newRetryBucket = newRetryBucket;
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.gatekeeperService = gatekeeperService;
        this.decisions = decisions;
        this.metrics = metrics;
    }

    /**
     * Routes a call.
     *
     * @param call the call
     * @param reply receives the answer, on the loop
     * @return handle that can cancel the call
     */
    public RoutedCall route(Call call, Consumer<CallAnswer> reply) {
        RoutedCall routedCall = new RoutedCall(call, reply);
        openCalls.add(routedCall);
        try {
            retryBucket(call).recordFirstAttempt();
            routedCall.dispatchToNextHost();
        } catch (RuntimeException | Error failure) {
            routedCall.abandon();
            throw failure;
        }
        return routedCall;
    }

    private RetryTokenBucket retryBucket(Call call) {
        return retryBuckets.computeIfAbsent(call.operation().service(), service -> newRetryBucket.get());
    }

    /**
     * Returns the number of calls that are not answered yet.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return openCalls.size();
    }

    /** Cancels all calls; each is still answered. */
    public void cancelAll() {
        List.copyOf(openCalls).forEach(RoutedCall::cancel);
    }

    /** Answers all calls that are not answered yet, because this node stops; their outcome is unknown. */
    public void abandonAll() {
        List.copyOf(openCalls).forEach(RoutedCall::answerAtStop);
    }

    /** A call that is being routed. Owned by the decision loop. */
    public final class RoutedCall {
        private final Call call;
        private final Consumer<CallAnswer> reply;
        private final RetryBudget budget;
        private final Set<String> triedHosts = new HashSet<>();
        private Runnable cancelDispatch = () -> {};
        private int remainingReroutes;
        private int overloadRefusals;
        private RefusalReason lastRefusal;
        private CallAnswer possiblyExecuted;
        private boolean cancelled;
        private boolean completed;

        /** Whether the call has failed in this process, so that later answers to its dispatches are ignored. */
        private boolean abandoned;

        private RoutedCall(Call call, Consumer<CallAnswer> reply) {
            this.call = call;
            this.reply = reply;
            this.budget = new RetryBudget(call.retries());
            this.remainingReroutes = call.reroutes();
        }

        /**
         * Returns whether the call was answered.
         *
         * @return true once it was answered
         */
        public boolean isAnswered() {
            return completed;
        }

        /** Cancels the call; it is still answered. */
        public void cancel() {
            cancelled = true;
            cancelDispatch.run();
        }

        /** Ends a call whose routing failed in this process; its dispatch, if there is one, may still run. */
        private void abandon() {
            if (!completed) {
                completed = true;
                abandoned = true;
                openCalls.remove(this);
                cancelDispatch.run();
            }
        }

        /** Answers a call that has no answer yet when this node stops. */
        private void answerAtStop() {
            if (!completed) {
                abandon();
                String host = state.membership().self().host().name();
                reply.accept(CallAnswer.unknown("host " + host + " stops before the answer arrived", host, List.of()));
            }
        }

        /** Handles a result of a dispatch; a call that fails here is answered, since its dispatch may have run. */
        private void handleResult(Runnable handling) {
            if (abandoned) {
                return;
            }
            try {
                handling.run();
            } catch (RuntimeException | Error failure) {
                if (!completed) {
                    abandon();
                    reply.accept(CallAnswer.unknown("the routing failed", "", List.of()));
                }
                throw failure;
            }
        }

        private void dispatchToNextHost() {
            long now = loop.nowMicros();
            RefusalReason refusal = refusalBeforeRouting(now);
            if (refusal != null) {
                refuse(refusal, 0);
                return;
            }
            EndpointSelector.Request request =
                    new EndpointSelector.Request(call.operation(), admissionRank(), triedHosts, state.drained());
            RouteChoice choice = state.selector().choose(request, now, state.random());
            if (!choice.isChosen()) {
                refuse(lastRefusal == null ? choice.refusal() : lastRefusal, choice.level());
                return;
            }
            record(choice.host().host().name(), "chosen", "", choice.level());
            dispatch(choice.host(), now);
        }

        /** Returns the rank for routing. Shed levels apply to root requests only, so that started work is completed. */
        private int admissionRank() {
            return call.context().isNested() ? Rank.LIMIT : call.context().rank();
        }

        private RefusalReason refusalBeforeRouting(long now) {
            if (cancelled) {
                return RefusalReason.CANCELLED;
            }
            if (now >= call.deadlineMicros()) {
                return RefusalReason.DEADLINE;
            }
            if (state.isQuarantined(call.fingerprint())) {
                return RefusalReason.QUARANTINED;
            }
            return state.routes()
                    .revocationOf(call.context().keyId(), call.context().team());
        }

        private void refuse(RefusalReason reason, int level) {
            record("", "refuse", reason.wireName(), level);
            String detail = "no endpoint of " + call.operation().service() + " accepts the call: " + reason.wireName();
            CallAnswer.LoadReport report = new CallAnswer.LoadReport(level, 0, 0, 0);
            complete(CallAnswer.refused(reason, detail, report, budget.remaining(), ""));
        }

        private void dispatch(Member host, long now) {
            long remaining = call.deadlineMicros() - now;
            DispatchMessage message = new DispatchMessage(
                    call.context(),
                    call.operation(),
                    call.policy().idempotent(),
                    call.body(),
                    call.fingerprint(),
                    remaining,
                    budget.takeShare(),
                    call.head(),
                    state.selector().noticeOf(host.host().name()));
            state.selector().recordSent(host);
            if (host.host().equals(state.membership().self().host())) {
                dispatchLocally(host, message);
            } else {
                dispatchToPeer(host, message, remaining + ANSWER_GRACE_MICROS);
            }
        }

        private void dispatchLocally(Member host, DispatchMessage message) {
            Runnable before = cancelDispatch;
            long execution =
                    gatekeeperService.dispatch(message, answer -> handleResult(() -> handleAnswer(host, answer)));
            if (cancelDispatch == before) {
                cancelDispatch = () -> gatekeeperService.cancel(execution);
            }
        }

        private void dispatchToPeer(Member host, DispatchMessage message, long timeoutMicros) {
            PeerClient.PendingRequest pending =
                    peers.send(host.address(), message, timeoutMicros, new PeerClient.AnswerListener() {
                        @Override
                        public void answered(PeerMessage answer) {
                            if (answer instanceof CallAnswer callAnswer) {
                                handleResult(() -> handleAnswer(host, callAnswer));
                            } else {
                                failed(PeerClient.PeerFailure.NO_ANSWER);
                            }
                        }

                        @Override
                        public void failed(PeerClient.PeerFailure failure) {
                            handleResult(() -> handleFailure(host, failure));
                        }
                    });
            cancelDispatch = () -> peers.cancel(pending);
        }

        private void handleAnswer(Member host, CallAnswer answer) {
            long now = loop.nowMicros();
            CallAnswer.LoadReport load = answer.report();
            // Calls that did not complete are excluded: a quick refusal or failure would make the endpoint look fast.
            long duration = answer.outcome() == Outcome.COMPLETE ? load.durationMicros() : 0;
            LoadFeedback feedback =
                    new LoadFeedback(call.operation(), load.level(), load.inFlight(), duration, load.notice());
            state.selector().recordAnswer(host, feedback, now);
            if (answer.reason() == RefusalReason.DRAINING || answer.reason() == RefusalReason.NO_ENDPOINT) {
                state.selector().recordLeaving(host, now);
            }
            answer.suspicions().forEach(state.suspects()::add);
            budget.returnUnspent(answer.unspentRetries());
            retryOrComplete(host, answer);
        }

        private void handleFailure(Member host, PeerClient.PeerFailure failure) {
            state.selector().recordFailure(host, loop.nowMicros());
            String name = host.host().name();
            if (failure == PeerClient.PeerFailure.NOT_SENT) {
                String detail = "host " + name + " cannot be reached";
                retryOrComplete(
                        host,
                        CallAnswer.refused(RefusalReason.NO_ENDPOINT, detail, CallAnswer.LoadReport.NONE, 0, name));
            } else {
                retryOrComplete(host, CallAnswer.unknown("host " + name + " gave no answer", name, List.of()));
            }
        }

        private void retryOrComplete(Member host, CallAnswer answer) {
            if (answer.outcome().mayHaveRun()) {
                if (possiblyExecuted != null) {
                    possiblyExecuted.body().release();
                }
                possiblyExecuted = answer;
            }
            if (mayRetry(answer) && !exceedsOverloadReroutes(answer) && (tryFreeReroute(answer) || tryUseRetry())) {
                lastRefusal = answer.reason();
                triedHosts.add(host.host().name());
                releaseUnlessKept(answer);
                dispatchToNextHost();
                return;
            }
            complete(answer.withUnspentRetries(budget.remaining()));
        }

        /** Releases the body of an answer that is not delivered, unless it may still be. */
        private void releaseUnlessKept(CallAnswer answer) {
            if (possiblyExecuted == null || possiblyExecuted.body() != answer.body()) {
                answer.body().release();
            }
        }

        /**
         * Counts an overload refusal of a root request and returns whether the limit of reroutes is exceeded. Nested
         * calls have no such limit, since refusing one wastes the work of its parent calls.
         */
        private boolean exceedsOverloadReroutes(CallAnswer answer) {
            if (answer.reason() != RefusalReason.OVERLOAD || call.context().isNested()) {
                return false;
            }
            overloadRefusals++;
            return overloadRefusals > MAX_OVERLOAD_REROUTES;
        }

        /** Reroutes without using a retry, if allowed: a call that did not reach an endpoint caused no work there. */
        private boolean tryFreeReroute(CallAnswer answer) {
            if (remainingReroutes == 0
                    || answer.outcome() != Outcome.NOT_RUN
                    || answer.reason() == RefusalReason.ENDPOINT_REJECTED) {
                return false;
            }
            remainingReroutes--;
            metrics.counter("calls.reroutes").inc();
            return true;
        }

        private boolean tryUseRetry() {
            if (budget.remaining() == 0 || !retryBucket(call).trySpend()) {
                return false;
            }
            budget.spend();
            metrics.counter("calls.retries").inc();
            return true;
        }

        private boolean mayRetry(CallAnswer answer) {
            boolean otherHostAllowed =
                    answer.reason() == null || answer.reason().permitsAnotherEndpoint();
            // The body of a call is released when a large answer to it has begun.
            return !cancelled
                    && !(call.body().isLarge() && call.body().isReleased())
                    && otherHostAllowed
                    && answer.suspicions().isEmpty()
                    && permitsRetry(answer)
                    && loop.nowMicros() < call.deadlineMicros();
        }

        /**
         * Returns whether the outcome permits a retry. A failure that stems from a nested call is not retried: it would
         * recur after the whole call tree was repeated.
         */
        private boolean permitsRetry(CallAnswer answer) {
            boolean idempotent = call.policy().idempotent();
            return answer.outcome().permitsRetry(idempotent)
                    || idempotent
                            && answer.outcome() == Outcome.FAILED
                            && answer.report().endpointFault();
        }

        /** Answers the call. The refusal of a retry must not hide that an earlier dispatch may have run. */
        private void complete(CallAnswer lastAnswer) {
            CallAnswer answer = lastAnswer.outcome() == Outcome.NOT_RUN && possiblyExecuted != null
                    ? possiblyExecuted.withUnspentRetries(lastAnswer.unspentRetries())
                    : lastAnswer;
            if (possiblyExecuted != null && possiblyExecuted.body() != answer.body()) {
                possiblyExecuted.body().release();
            }
            if (completed) {
                throw new IllegalStateException("call " + call.context().path() + " was already answered");
            }
            completed = true;
            openCalls.remove(this);
            metrics.counter("calls.outcome." + answer.outcome().wireName()).inc();
            reply.accept(answer);
        }

        private void record(String candidate, String result, String reason, int level) {
            decisions.record(
                    Decision.Kind.ROUTE,
                    call.context(),
                    call.operation(),
                    new CallDecisionRecorder.DecisionDetails(candidate, result, reason, level, budget.remaining()));
        }
    }
}
