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
 * Routes calls as their sender: chooses an endpoint, dispatches to its gatekeeper, and retries while the outcome, the
 * call's budget and the service's ratio permit.
 *
 * <p>Invariants: each call is answered exactly once; "not run" is answered only if every dispatch was refused by a
 * gatekeeper or never sent; a call that is not idempotent is dispatched again only after such a refusal. An idempotent call
 * is also dispatched again after an endpoint failed it by itself: another one may not. Owned by the decision loop: all
 * methods are called on it.
 */
public final class CallRouter {
    private static final long ANSWER_GRACE_MICROS = 20_000;

    /**
     * Times that a root request goes to another host after one refused it for overload: a second choice evens demand out
     * (Mitzenmacher, "The Power of Two Choices", 2001), and further ones only carry bodies between failure domains.
     */
    private static final int OVERLOAD_REROUTES = 1;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final GatekeeperService gatekeeperService;
    private final CallDecisionRecorder decisions;
    private final MetricRegistry metrics;
    private final Supplier<RetryTokenBucket> newRatio;
    private final Map<String, RetryTokenBucket> ratios = new HashMap<>();
    private int inFlight;

    /**
     * Creates a router.
     *
     * @param loop runs callbacks
     * @param state decision state of the host
     * @param peers sends to other hosts
     * @param gatekeeperService runs calls for this host's own endpoint
     * @param decisions receives every decision
     * @param metrics registry for counts
     * @param newRatio creates the ratio of a service that is called for the first time
     */
    public CallRouter(
            DecisionLoop loop,
            HostState state,
            PeerClient peers,
            GatekeeperService gatekeeperService,
            CallDecisionRecorder decisions,
            MetricRegistry metrics,
            Supplier<RetryTokenBucket> newRatio) {
        this.newRatio = newRatio;
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
     * @return handle that cancels the call
     */
    public RoutedCall route(Call call, Consumer<CallAnswer> reply) {
        RoutedCall route = new RoutedCall(call, reply);
        inFlight++;
        ratio(call).recordFirstAttempt();
        route.dispatchToNext();
        return route;
    }

    private RetryTokenBucket ratio(Call call) {
        return ratios.computeIfAbsent(call.operation().service(), service -> newRatio.get());
    }

    /**
     * Returns the calls that are not answered yet.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    /** One call on its way. Owned by the decision loop. */
    public final class RoutedCall {
        private final Call call;
        private final Consumer<CallAnswer> reply;
        private final RetryBudget budget;
        private final Set<String> tried = new HashSet<>();
        private Runnable withdraw = () -> {};
        private int reroutesLeft;
        private int overloadRefusals;
        private RefusalReason lastRefusal;
        private CallAnswer mayHaveRun;
        private boolean cancelled;
        private boolean ended;

        private RoutedCall(Call call, Consumer<CallAnswer> reply) {
            this.call = call;
            this.reply = reply;
            this.budget = new RetryBudget(call.retries());
            this.reroutesLeft = call.reroutes();
        }

        /**
         * Tells whether the call was answered.
         *
         * @return true after its answer
         */
        public boolean isAnswered() {
            return ended;
        }

        /** Withdraws the call; it is still answered. */
        public void cancel() {
            cancelled = true;
            withdraw.run();
        }

        private void dispatchToNext() {
            long now = loop.nowMicros();
            RefusalReason refusal = refusalBeforeRouting(now);
            if (refusal != null) {
                refuse(refusal, 0);
                return;
            }
            EndpointSelector.Request request =
                    new EndpointSelector.Request(call.operation(), admissionRank(), tried, state.drained());
            RouteChoice choice = state.selector().choose(request, now, state.random());
            if (!choice.isChosen()) {
                refuse(lastRefusal == null ? choice.refusal() : lastRefusal, choice.level());
                return;
            }
            record(choice.host().host().name(), "chosen", "", choice.level());
            dispatch(choice.host(), now);
        }

        /** Shed levels decide about root requests only: what has begun is finished. */
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
            return state.isQuarantined(call.fingerprint()) ? RefusalReason.QUARANTINED : null;
        }

        private void refuse(RefusalReason reason, int level) {
            record("", "refuse", reason.wireName(), level);
            String detail = "no endpoint of " + call.operation().service() + " accepts the call: " + reason.wireName();
            CallAnswer.LoadReport report = new CallAnswer.LoadReport(level, 0, 0, 0);
            end(CallAnswer.refused(reason, detail, report, budget.remaining(), ""));
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
                    call.head());
            state.selector().sent(host);
            if (host.host().equals(state.membership().self().host())) {
                dispatchHere(host, message);
            } else {
                dispatchToPeer(host, message, remaining + ANSWER_GRACE_MICROS);
            }
        }

        private void dispatchHere(Member host, DispatchMessage message) {
            long execution = gatekeeperService.dispatch(message, answer -> answered(host, answer));
            withdraw = () -> gatekeeperService.cancel(execution);
        }

        private void dispatchToPeer(Member host, DispatchMessage message, long timeoutMicros) {
            PeerClient.Pending pending =
                    peers.send(host.address(), message, timeoutMicros, new PeerClient.AnswerListener() {
                        @Override
                        public void answered(PeerMessage answer) {
                            if (answer instanceof CallAnswer callAnswer) {
                                RoutedCall.this.answered(host, callAnswer);
                            } else {
                                failed(PeerClient.PeerFailure.NO_ANSWER);
                            }
                        }

                        @Override
                        public void failed(PeerClient.PeerFailure failure) {
                            notAnswered(host, failure);
                        }
                    });
            withdraw = () -> peers.cancel(pending);
        }

        private void answered(Member host, CallAnswer answer) {
            long now = loop.nowMicros();
            CallAnswer.LoadReport load = answer.report();
            // How fast work is turned away tells nothing about how fast it is done.
            long duration = answer.outcome() == Outcome.COMPLETE ? load.durationMicros() : 0;
            LoadFeedback report = new LoadFeedback(call.operation(), load.level(), load.busy(), duration);
            state.selector().answered(host, report, now);
            if (answer.reason() == RefusalReason.DRAINING || answer.reason() == RefusalReason.NO_ENDPOINT) {
                state.selector().leaving(host, now);
            }
            answer.suspicions().forEach(state.suspects()::add);
            budget.returnUnspent(answer.unspentRetries());
            retryOrEnd(host, answer);
        }

        private void notAnswered(Member host, PeerClient.PeerFailure failure) {
            state.selector().failed(host, loop.nowMicros());
            String name = host.host().name();
            if (failure == PeerClient.PeerFailure.NOT_SENT) {
                String detail = "host " + name + " cannot be reached";
                retryOrEnd(
                        host,
                        CallAnswer.refused(RefusalReason.NO_ENDPOINT, detail, CallAnswer.LoadReport.NONE, 0, name));
            } else {
                retryOrEnd(host, CallAnswer.unknown("host " + name + " gave no answer", name, List.of()));
            }
        }

        private void retryOrEnd(Member host, CallAnswer answer) {
            if (answer.outcome().mayHaveRun()) {
                mayHaveRun = answer;
            }
            if (mayRetry(answer) && !isOverloadCertain(answer) && (isFreeReroute(answer) || spendRetry())) {
                lastRefusal = answer.reason();
                tried.add(host.host().name());
                dispatchToNext();
                return;
            }
            end(answer.withUnspentRetries(budget.remaining()));
        }

        /** A nested call goes on to every host, since its refusal wastes what was done above it. */
        private boolean isOverloadCertain(CallAnswer answer) {
            if (answer.reason() != RefusalReason.OVERLOAD || call.context().isNested()) {
                return false;
            }
            overloadRefusals++;
            return overloadRefusals > OVERLOAD_REROUTES;
        }

        /** A call that reached no endpoint costs no endpoint anything, so it draws on no budget of retries. */
        private boolean isFreeReroute(CallAnswer answer) {
            if (reroutesLeft == 0
                    || answer.outcome() != Outcome.NOT_RUN
                    || answer.reason() == RefusalReason.ENDPOINT_REJECTED) {
                return false;
            }
            reroutesLeft--;
            metrics.counter("calls.reroutes").inc();
            return true;
        }

        private boolean spendRetry() {
            if (budget.remaining() == 0 || !ratio(call).spend()) {
                return false;
            }
            budget.spend();
            metrics.counter("calls.retries").inc();
            return true;
        }

        private boolean mayRetry(CallAnswer answer) {
            boolean elsewhere = answer.reason() == null || answer.reason().permitsAnotherEndpoint();
            return !cancelled
                    && elsewhere
                    && answer.suspicions().isEmpty()
                    && permitsRetry(answer)
                    && loop.nowMicros() < call.deadlineMicros();
        }

        /** A failure that comes from below would be met again, and the whole tree with it. */
        private boolean permitsRetry(CallAnswer answer) {
            boolean idempotent = call.policy().idempotent();
            return answer.outcome().permitsRetry(idempotent)
                    || idempotent
                            && answer.outcome() == Outcome.FAILED
                            && answer.report().endpointFault();
        }

        /** A refusal of a later try must not hide that an earlier one may have run. */
        private void end(CallAnswer last) {
            CallAnswer answer = last.outcome() == Outcome.NOT_RUN && mayHaveRun != null
                    ? mayHaveRun.withUnspentRetries(last.unspentRetries())
                    : last;
            if (ended) {
                throw new IllegalStateException("call " + call.context().path() + " is answered twice");
            }
            ended = true;
            inFlight--;
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
