package org.anvillatch.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.admission.AdmissionAction;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.admission.GatekeeperStatus;
import org.anvillatch.decision.admission.NestedCallStats;
import org.anvillatch.decision.admission.Work;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.retry.RetryBudget;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.endpoint.EndpointAnnouncement;
import org.anvillatch.node.endpoint.EndpointTransport;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;

/**
 * Executes the decisions of this host's {@link Gatekeeper}: sends admitted calls to the endpoint and answers the
 * senders.
 *
 * <p>Invariants: each dispatch is answered exactly once; a dispatch that is answered "not run" was never sent to an
 * endpoint, or the endpoint that received it reported that it did not run it. Owned by the decision loop: all methods are
 * called on it.
 */
public final class GatekeeperService {
    /** Period of the gatekeeper's timer while it needs one, in microseconds. */
    private static final long TICK_PERIOD_MICROS = 10_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final EndpointTransport client;
    private final CallDecisionRecorder decisions;
    private final MetricRegistry metrics;
    private final Map<Long, Execution> executions = new HashMap<>();
    private final Map<String, Execution> startedByCallPath = new HashMap<>();
    private final EndpointState endpointState;
    private final LostConnections lostConnections;
    private boolean tickScheduled;
    private long nextExecution = 1;

    /**
     * Creates the service.
     *
     * @param loop loop that runs the callbacks
     * @param state decision state of this host
     * @param client client for the endpoint
     * @param decisions records every decision
     * @param metrics registry for the counters
     * @param crashSignal event that is taken as a crash of the endpoint
     */
    public GatekeeperService(
            DecisionLoop loop,
            HostState state,
            EndpointTransport client,
            CallDecisionRecorder decisions,
            MetricRegistry metrics,
            CrashSignal crashSignal) {
        this.loop = loop;
        this.state = state;
        this.client = client;
        this.decisions = decisions;
        this.metrics = metrics;
        this.endpointState = new EndpointState(loop, state, client, this::perform);
        this.lostConnections = new LostConnections(state, endpointState, crashSignal);
    }

    /**
     * Sets the listener for crashes of the endpoint.
     *
     * @param listener receives new suspicions against the requests that were running, on the loop
     */
    public void setCrashListener(Consumer<List<CrashSuspects.Suspicion>> listener) {
        lostConnections.setListener(listener);
    }

    /**
     * Returns what the endpoint reports about itself.
     *
     * @return the state of the endpoint, owned by the loop
     */
    public EndpointState endpointState() {
        return endpointState;
    }

    /** A call that was dispatched to this host. Owned by the decision loop. */
    public final class Execution {
        private final long number;
        private final DispatchMessage message;
        private final Consumer<CallAnswer> reply;
        private final long arrivedMicros;
        private final long deadlineMicros;
        private final RetryBudget budget;
        private final Set<String> usedCallNumbers = new HashSet<>();
        private final List<CallRouter.RoutedCall> nestedCalls = new ArrayList<>();
        private Runnable abort = () -> {};
        private long startedMicros;
        private boolean started;
        private boolean replied;
        private int nextCallNumber;
        private NestedCallStats nestedStats = NestedCallStats.NONE;
        private boolean nestedFailed;

        private Execution(long number, DispatchMessage message, Consumer<CallAnswer> reply, long nowMicros) {
            this.number = number;
            this.message = message;
            this.reply = reply;
            this.arrivedMicros = nowMicros;
            this.deadlineMicros = nowMicros + message.remainingMicros();
            this.budget = new RetryBudget(Math.max(0, message.retries()));
        }

        /**
         * Returns the dispatched call.
         *
         * @return the sender's message
         */
        public DispatchMessage message() {
            return message;
        }

        /**
         * Returns the deadline.
         *
         * @return microseconds on this host's clock
         */
        public long deadlineMicros() {
            return deadlineMicros;
        }

        /**
         * Returns the retry budget that the nested calls share.
         *
         * @return the budget, owned by the loop
         */
        public RetryBudget budget() {
            return budget;
        }

        /**
         * Reserves the number of a nested call.
         *
         * @param given number given by the endpoint, or null for the next one
         * @return the number, or null if it was used before
         */
        public String reserveCallNumber(String given) {
            String callNumber = given == null ? Integer.toString(nextCallNumber++) : given;
            return usedCallNumbers.add(callNumber) ? callNumber : null;
        }

        /**
         * Registers a nested call, which is cancelled together with this execution.
         *
         * @param call the nested call
         */
        public void addNestedCall(CallRouter.RoutedCall call) {
            nestedCalls.add(call);
        }

        /**
         * Returns whether nested calls were made, which a retry of this execution would repeat at every downstream
         * service.
         */
        private boolean hasNestedCalls() {
            return nestedStats.called() || !nestedCalls.isEmpty();
        }

        /**
         * Returns the identity of this execution that is sent to the endpoint.
         *
         * @return host, incarnation and number
         */
        public String name() {
            return state.membership().self().host() + "/" + number;
        }
    }

    /**
     * Offers a call to the gatekeeper for execution.
     *
     * @param message the call
     * @param reply receives the answer, on the loop
     * @return number that identifies the dispatch on this host
     */
    public long dispatch(DispatchMessage message, Consumer<CallAnswer> reply) {
        long now = loop.nowMicros();
        long number = nextExecution++;
        Execution execution = new Execution(number, message, reply, now);
        executions.put(number, execution);
        endpointState.applySenderNotice(message.notice());
        EndpointAnnouncement endpoint = endpointState.endpoint();
        if (endpoint != null && !endpoint.service().equals(message.operation().service())) {
            refuse(execution, RefusalReason.NO_ENDPOINT, 0);
        } else if (state.isQuarantined(message.fingerprint())) {
            refuse(execution, RefusalReason.QUARANTINED, 0);
        } else if (revocationOf(execution) != null) {
            refuse(execution, revocationOf(execution), 0);
        } else {
            Work work = new Work(
                    number,
                    message.operation(),
                    message.context().rank(),
                    execution.deadlineMicros,
                    message.context().isNested());
            perform(state.gatekeeper().offer(work, now));
        }
        return number;
    }

    /**
     * Returns whether a dispatch is not answered yet.
     *
     * @param number number of the dispatch
     * @return true while it is queued or running
     */
    public boolean isPending(long number) {
        return executions.containsKey(number);
    }

    /**
     * Cancels a dispatch and its nested calls; the dispatch is still answered.
     *
     * @param number number of the dispatch
     */
    public void cancel(long number) {
        Execution execution = executions.get(number);
        if (execution == null) {
            return;
        }
        List<CallRouter.RoutedCall> nestedCalls = List.copyOf(execution.nestedCalls);
        nestedCalls.forEach(CallRouter.RoutedCall::cancel);
        if (execution.started) {
            execution.abort.run();
        } else {
            perform(state.gatekeeper().cancel(number, loop.nowMicros()));
        }
    }

    /** Cancels all dispatches; each is still answered. */
    public void cancelAll() {
        List.copyOf(executions.keySet()).forEach(this::cancel);
    }

    /**
     * Refuses the queued root requests whose API keys no longer belong to their teams.
     *
     * @return number of refused requests
     */
    public int refuseRevoked() {
        int refused = 0;
        for (Execution execution : List.copyOf(executions.values())) {
            RefusalReason reason = revocationOf(execution);
            if (reason != null
                    && !state.gatekeeper()
                            .cancel(execution.number, loop.nowMicros())
                            .isEmpty()) {
                refuse(execution, reason, 0);
                refused++;
            }
        }
        return refused;
    }

    private RefusalReason revocationOf(Execution execution) {
        CallContext context = execution.message.context();
        return state.routes().revocationOf(context.keyId(), context.team());
    }

    /**
     * Lets the gatekeeper update its shed level and refuse or start queued work. Repeated while work is queued or the
     * shed level is above 0.
     */
    private void tick() {
        tickScheduled = false;
        perform(state.gatekeeper().tick(loop.nowMicros()));
    }

    private void scheduleTick() {
        if (!tickScheduled && state.gatekeeper().needsTick()) {
            tickScheduled = true;
            loop.schedule(TICK_PERIOD_MICROS, this::tick);
        }
    }

    /**
     * Finds a running execution by the identity that was sent to the endpoint.
     *
     * @param name value of {@code Anvillatch-Context}
     * @return the execution, or null if no such execution is running
     */
    public Execution find(String name) {
        int slash = name.lastIndexOf('/');
        try {
            Execution execution = executions.get(Long.parseLong(name.substring(slash + 1)));
            return execution != null && execution.started && execution.name().equals(name) ? execution : null;
        } catch (NumberFormatException notANumber) {
            return null;
        }
    }

    /**
     * Finds a running execution by the path of its call.
     *
     * @param path position of the call in the call tree of its root request
     * @return the execution, or null if this host's endpoint runs no such call
     */
    public Execution findByCallPath(String path) {
        return startedByCallPath.get(path);
    }

    private void perform(List<AdmissionAction> actions) {
        for (AdmissionAction action : actions) {
            Execution execution = executions.get(action.execution());
            if (action instanceof AdmissionAction.Start) {
                start(execution);
            } else if (action instanceof AdmissionAction.Refuse refusal) {
                refuse(execution, refusal.reason(), refusal.level());
            }
        }
        scheduleTick();
    }

    private void start(Execution execution) {
        long now = loop.nowMicros();
        execution.started = true;
        execution.startedMicros = now;
        startedByCallPath.put(execution.message.context().path(), execution);
        record(execution, "start", "", 0);
        metrics.counter("gatekeeper.started").inc();
        execution.abort = client.send(
                endpointState.endpoint(),
                execution.name(),
                execution.message,
                execution.deadlineMicros - now,
                answer -> loop.execute(() -> completeExecution(execution, answer)));
    }

    private void refuse(Execution execution, RefusalReason reason, int level) {
        executions.remove(execution.number);
        record(execution, "refuse", reason.wireName(), level);
        metrics.counter("gatekeeper.refused." + reason.wireName()).inc();
        String host = state.membership().self().host().name();
        long queuedMicros = loop.nowMicros() - execution.arrivedMicros;
        CallAnswer.LoadReport report = new CallAnswer.LoadReport(
                level, executionsInFlight(), 0, queuedMicros, false, endpointState.restriction());
        String detail = "host " + host + " refuses: " + reason.wireName();
        execution.reply.accept(CallAnswer.refused(reason, detail, report, execution.budget.remaining(), host));
    }

    private int executionsInFlight() {
        GatekeeperStatus status = state.gatekeeper().status();
        return status.running() + status.waiting();
    }

    /** Completes an execution; a sender on this host waits without a timeout, so it is answered also after a failure. */
    private void completeExecution(Execution execution, EndpointTransport.EndpointAnswer answer) {
        try {
            recordCompletion(execution, answer);
        } catch (RuntimeException | Error failure) {
            if (!execution.replied) {
                execution.replied = true;
                execution.reply.accept(CallAnswer.unknown("the gatekeeper failed", "", List.of()));
            }
            throw failure;
        }
    }

    private void recordCompletion(Execution execution, EndpointTransport.EndpointAnswer answer) {
        executions.remove(execution.number);
        startedByCallPath.remove(execution.message.context().path(), execution);
        long now = loop.nowMicros();
        endpointState.applyNotice(answer.notice(), now);
        long durationMicros = now - execution.startedMicros;
        List<AdmissionAction> next = state.gatekeeper()
                .recordEnd(
                        execution.number,
                        EndpointAnswers.executionResult(answer, execution.nestedFailed),
                        durationMicros,
                        execution.message.operation(),
                        execution.nestedStats,
                        now);
        List<CrashSuspects.Suspicion> suspicions = List.of();
        if (answer.result() == EndpointTransport.ExchangeResult.BROKEN) {
            suspicions = lostConnections.connectionLost(execution.message.fingerprint(), now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.NOT_CONNECTED
                || answer.result() == EndpointTransport.ExchangeResult.REPLACED) {
            lostConnections.endpointUnreachable(now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.ANSWERED) {
            lostConnections.recordAnswered(execution.message.fingerprint());
        }
        CallAnswer callAnswer = toCallAnswer(execution, answer, durationMicros, suspicions);
        execution.replied = true;
        execution.reply.accept(callAnswer);
        perform(next);
        endpointState.updateHealth();
    }

    /**
     * Records the answer of a nested call.
     *
     * @param parent execution that made the call
     * @param called operation that was called
     * @param answer answer of the nested call
     */
    public void recordNestedAnswer(Execution parent, OperationName called, CallAnswer answer) {
        boolean refused = answer.reason() == RefusalReason.OVERLOAD || answer.reason() == RefusalReason.DEADLINE;
        parent.nestedStats = parent.nestedStats.plus(answer.report().queuedMicros(), refused);
        parent.nestedStats = parent.nestedStats.plusExecution(answer.report().durationMicros());
        parent.nestedFailed |= answer.outcome() != Outcome.COMPLETE;
        state.gatekeeper()
                .recordDownstreamLevel(
                        parent.message.operation(), called, answer.report().level(), loop.nowMicros());
    }

    private CallAnswer toCallAnswer(
            Execution execution,
            EndpointTransport.EndpointAnswer answer,
            long durationMicros,
            List<CrashSuspects.Suspicion> suspicions) {
        String host = state.membership().self().host().name();
        int level = state.gatekeeper().shedLevelFor(execution.message.operation(), loop.nowMicros());
        long queuedMicros = execution.startedMicros - execution.arrivedMicros + execution.nestedStats.queuedMicros();
        boolean endpointFault =
                EndpointAnswers.isEndpointFault(answer, execution.nestedFailed) && !execution.hasNestedCalls();
        CallAnswer.LoadReport report = new CallAnswer.LoadReport(
                level, executionsInFlight(), durationMicros, queuedMicros, endpointFault, endpointState.restriction());
        return EndpointAnswers.toCallAnswer(
                answer, host, report, execution.budget.remaining(), execution.hasNestedCalls(), suspicions);
    }

    /**
     * Returns the number of dispatches that are not answered yet.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return executions.size();
    }

    private void record(Execution execution, String result, String reason, int level) {
        DispatchMessage message = execution.message;
        String host = state.membership().self().host().name();
        decisions.record(
                Decision.Kind.ADMIT,
                message.context(),
                message.operation(),
                new CallDecisionRecorder.DecisionDetails(host, result, reason, level, execution.budget.remaining()));
    }
}
