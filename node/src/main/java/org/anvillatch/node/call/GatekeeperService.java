package org.anvillatch.node.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.admission.AdmissionAction;
import org.anvillatch.decision.admission.ExecutionResult;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.admission.GatekeeperStatus;
import org.anvillatch.decision.admission.NestedCallStats;
import org.anvillatch.decision.admission.Work;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.rejection.DownstreamRejections;
import org.anvillatch.decision.rejection.RetryGrants;
import org.anvillatch.decision.retry.RetryBudget;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.endpoint.EndpointAnnouncement;
import org.anvillatch.node.endpoint.EndpointTransport;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the decisions of this host's {@link Gatekeeper}: sends admitted calls to the endpoint and answers the
 * senders.
 *
 * <p>Invariants: each dispatch is answered exactly once; a dispatch that is answered "not run" was never sent to an
 * endpoint, or the endpoint that received it reported that it did not run it; a process of the endpoint that is leaving
 * gets no new work unless it announces itself again. Owned by the decision loop: all methods
 * are called on it.
 */
public final class GatekeeperService {
    private static final Logger LOG = LoggerFactory.getLogger(GatekeeperService.class);
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * HTTP status by which the endpoint reports that the deadline has passed, which does not count as its own fault.
     */
    private static final int DEADLINE_STATUS = 504;

    /** Minimum change of the endpoint's limit that is logged, as a fraction of the limit. */
    private static final double LOGGED_LIMIT_CHANGE = 0.1;

    /** Minimum change of the slots that is advertised to other hosts, as a fraction of the advertised slots. */
    private static final double ADVERTISED_SLOTS_CHANGE = 0.25;

    private static final int MAX_RECENTLY_ANSWERED = 1_000;

    /** Period of the gatekeeper's timer while it needs one, in microseconds. */
    private static final long TICK_PERIOD_MICROS = 10_000;

    /** Period of the health check of a failing endpoint, in microseconds: a tenth of the minimum ejection time. */
    private static final long HEALTH_CHECK_PERIOD_MICROS = 100_000;

    /**
     * Maximum time between the loss of a connection and the failed attempt to connect that shows a crash, in
     * microseconds.
     */
    private static final long CRASH_WINDOW_MICROS = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final EndpointTransport client;
    private final CallDecisionRecorder decisions;
    private final MetricRegistry metrics;
    private final Map<Long, Execution> executions = new HashMap<>();
    private final Map<String, Execution> startedByCallPath = new HashMap<>();
    private final Set<String> recentlyAnswered = new LinkedHashSet<>();
    private final CrashSignal crashSignal;
    private final Deque<LostExecution> lostExecutions = new ArrayDeque<>();
    private Consumer<List<CrashSuspects.Suspicion>> crashListener = suspicions -> {};
    private final PartialRejections rejections;
    private Runnable endpointListener = () -> {};
    private EndpointAnnouncement endpoint;
    private EndpointNotice notice = EndpointNotice.unrestricted("");

    /** Whether the current process of the endpoint has answered this node. */
    private boolean answered;

    /** The process of the endpoint that is leaving, null if none is. */
    private String leavingInstance;

    private boolean stopping;
    private boolean tickScheduled;
    private long nextExecution = 1;
    private long crashCount;

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
        this.crashSignal = crashSignal;
        this.loop = loop;
        this.state = state;
        this.client = client;
        this.decisions = decisions;
        this.metrics = metrics;
        this.rejections = new PartialRejections(loop, state, metrics);
    }

    /**
     * Returns the decisions about services that reject a part of their requests.
     *
     * @return the decisions, owned by the loop
     */
    public PartialRejections rejections() {
        return rejections;
    }

    /**
     * Sets the listener for crashes of the endpoint.
     *
     * @param listener receives new suspicions against the requests that were running, on the loop
     */
    public void setCrashListener(Consumer<List<CrashSuspects.Suspicion>> listener) {
        crashListener = listener;
    }

    /**
     * Sets the listener for changes of the endpoint that its answers show.
     *
     * @param listener called on the loop when the endpoint starts or stops failing, says that it is leaving,
     *     or can take much more or less work than it advertises
     */
    public void setEndpointListener(Runnable listener) {
        endpointListener = listener;
    }

    private record LostExecution(String fingerprint, long atMicros) {}

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
        private int nextCallNumber;
        private NestedCallStats nestedStats = NestedCallStats.NONE;
        private boolean nestedFailed;
        private final Map<OperationName, Integer> callsMade = new HashMap<>();
        private int completedCalls;
        private boolean chosen;
        private EndpointTransport.EndpointAnswer heldAnswer;

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
         * Returns the number of nested calls that are complete.
         *
         * @return 0 or more
         */
        public int completedCalls() {
            return completedCalls;
        }

        /**
         * Returns whether rejected calls of the call tree are retried until it completes.
         *
         * @return true if the tree was chosen
         */
        public boolean isChosen() {
            return chosen;
        }

        /** Records that a retry was granted to a call of this execution. */
        public void choose() {
            chosen = true;
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
        applySenderNotice(message.notice());
        if (endpoint != null && !endpoint.service().equals(message.operation().service())) {
            refuse(execution, RefusalReason.NO_ENDPOINT, 0);
        } else if (state.isQuarantined(message.fingerprint())) {
            refuse(execution, RefusalReason.QUARANTINED, 0);
        } else if (!admitDespiteRejections(execution)) {
            refuse(
                    execution,
                    RefusalReason.PARTIAL_REJECTION,
                    state.gatekeeper().shedLevelFor(message.operation(), now));
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

    private boolean admitDespiteRejections(Execution execution) {
        DownstreamRejections.Admission admission = rejections.admit(execution.message);
        execution.chosen = execution.message.progress().chosen() || admission == DownstreamRejections.Admission.CHOSEN;
        return admission != DownstreamRejections.Admission.REFUSED;
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
        if (execution.heldAnswer != null) {
            rejections.cancel(number);
            answerHeld(execution, false);
        } else if (execution.started) {
            execution.abort.run();
        } else {
            perform(state.gatekeeper().cancel(number, loop.nowMicros()));
        }
    }

    /**
     * Lets the gatekeeper update its shed level and refuse or start queued work. Repeated while work is queued or the
     * shed level is above 0.
     */
    private void tick() {
        tickScheduled = false;
        perform(state.gatekeeper().tick(loop.nowMicros()));
        releaseHeld();
    }

    private void scheduleTick() {
        if (!tickScheduled && (state.gatekeeper().needsTick() || rejections.isHolding())) {
            tickScheduled = true;
            loop.schedule(TICK_PERIOD_MICROS, this::tick);
        }
    }

    /**
     * Handles the endpoint's announcement. A new instance replaces the current endpoint.
     *
     * @param announcement the announcement
     */
    public void endpointAnnounced(EndpointAnnouncement announcement) {
        if (stopping) {
            return;
        }
        leavingInstance = null;
        boolean sameInstance = endpoint != null && endpoint.instance().equals(announcement.instance());
        if (sameInstance && state.gatekeeper().phase() == EndpointPhase.SILENT) {
            changePhase(EndpointPhase.SERVING);
            applyDrain();
            return;
        }
        if (sameInstance && state.gatekeeper().phase() == EndpointPhase.SERVING) {
            return;
        }
        endpoint = announcement;
        answered = false;
        client.setMaxConnections(announcement.connections());
        state.gatekeeper().endpointAnnounced(announcement.slots());
        applyDrain();
        advertise();
    }

    /**
     * Refuses new work for a process of the endpoint that is leaving.
     *
     * @param instance identity of the process
     */
    public void endpointLeaving(String instance) {
        leavingInstance = instance;
        if (endpoint == null || endpoint.instance().equals(instance)) {
            changePhase(EndpointPhase.LEAVING);
        }
    }

    /** Refuses all new work from now on, whatever the endpoint announces, because this node stops. */
    public void stopAdmission() {
        stopping = true;
        changePhase(EndpointPhase.LEAVING);
    }

    /**
     * Returns whether a process of the endpoint is leaving.
     *
     * @param instance identity of the process
     * @return true if it said so and has not announced itself since
     */
    public boolean isLeaving(String instance) {
        return instance.equals(leavingInstance);
    }

    /**
     * Changes the phase of the endpoint, unless its current process is leaving or this node stops.
     *
     * @param phase the new phase
     */
    public void changePhase(EndpointPhase phase) {
        boolean leaving = stopping || endpoint != null && isLeaving(endpoint.instance());
        if (leaving && phase != EndpointPhase.LEAVING) {
            return;
        }
        if (state.gatekeeper().phase() != phase) {
            perform(state.gatekeeper().changePhase(phase, loop.nowMicros()));
            advertise();
        }
    }

    /** Drains the endpoint or returns it to service, as operators have configured. */
    public void applyDrain() {
        Set<String> drained = state.drained();
        boolean drain = drained.contains(state.membership().self().host().name())
                || drained.contains(state.membership().self().domain());
        changePhase(state.gatekeeper().phase().drained(drain));
    }

    private void advertise() {
        String service = endpoint == null ? "" : endpoint.service();
        EndpointPhase phase = state.gatekeeper().advertisedPhase(loop.nowMicros());
        state.membership()
                .advertiseEndpoint(
                        service,
                        state.gatekeeper().advertisedSlots(),
                        phase,
                        state.gatekeeper().serviceTimeMicros());
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
            boolean running = execution != null && execution.started && execution.heldAnswer == null;
            return running && execution.name().equals(name) ? execution : null;
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

    /**
     * Finds the execution that made a nested call whose path is that of its parent, a dot and a suffix.
     *
     * @param context identity of the call
     * @return the execution, or null if this host's endpoint runs none
     */
    Execution findParent(CallContext context) {
        int dot = context.path().lastIndexOf('.');
        return context.isNested() && dot > 0 ? findByCallPath(context.path().substring(0, dot)) : null;
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
        rejections.recordStart(execution.message);
        execution.abort = client.send(
                endpoint,
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
        CallAnswer.LoadReport report =
                new CallAnswer.LoadReport(level, executionsInFlight(), 0, queuedMicros, false, restriction());
        String detail = "host " + host + " refuses: " + reason.wireName();
        execution.reply.accept(CallAnswer.refused(reason, detail, report, execution.budget.remaining(), host));
    }

    private int executionsInFlight() {
        GatekeeperStatus status = state.gatekeeper().status();
        return status.running() + status.waiting();
    }

    private void completeExecution(Execution execution, EndpointTransport.EndpointAnswer answer) {
        startedByCallPath.remove(execution.message.context().path(), execution);
        long now = loop.nowMicros();
        applyNotice(answer.notice(), now);
        long durationMicros = now - execution.startedMicros;
        List<AdmissionAction> next = state.gatekeeper()
                .recordEnd(
                        execution.number,
                        executionResult(execution, answer),
                        durationMicros,
                        execution.message.operation(),
                        execution.nestedStats,
                        now);
        List<CrashSuspects.Suspicion> suspicions = List.of();
        if (answer.result() == EndpointTransport.ExchangeResult.BROKEN) {
            suspicions = handleLostConnection(execution, now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.NOT_CONNECTED
                || answer.result() == EndpointTransport.ExchangeResult.REPLACED) {
            handleUnreachableEndpoint(now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.ANSWERED) {
            recordAnswered(execution.message.fingerprint());
        }
        updateHealth();
        if (rejections.recordEnd(execution.number, execution.message, answer, execution.deadlineMicros)) {
            execution.heldAnswer = answer;
            scheduleTick();
        } else {
            executions.remove(execution.number);
            CallAnswer callAnswer = toCallAnswer(execution, answer, durationMicros, suspicions);
            if (callAnswer.outcome() == Outcome.COMPLETE) {
                rejections.recordComplete(execution.message.operation(), execution.callsMade);
            }
            execution.reply.accept(withRejections(execution, callAnswer, false));
        }
        perform(next);
        releaseHeld();
    }

    /** Answers rejected calls that were held, for which there is now a retry or whose time is over. */
    private void releaseHeld() {
        for (RetryGrants.Release release : rejections.release()) {
            answerHeld(executions.get(release.execution()), release.granted());
        }
    }

    private void answerHeld(Execution execution, boolean granted) {
        executions.remove(execution.number);
        CallAnswer answer = toCallAnswer(execution, execution.heldAnswer, 0, List.of());
        execution.reply.accept(withRejections(execution, answer, granted));
    }

    private CallAnswer withRejections(Execution execution, CallAnswer answer, boolean granted) {
        return answer.withReport(
                answer.report().withRejections(rejections.reportFor(execution.message.operation()), granted));
    }

    /** Applies a notice in an answer of the endpoint; that of an earlier process and null are ignored. */
    private void applyNotice(EndpointNotice received, long nowMicros) {
        if (received != null && received.instance().equals(endpoint.instance())) {
            answered = true;
            recordNotice(received, nowMicros);
        }
    }

    /**
     * Applies a notice that a sender got from the current endpoint before this node was restarted. The limit is applied
     * only until the endpoint has answered this node, which then knows better.
     */
    private void applySenderNotice(EndpointNotice known) {
        if (known == null || endpoint == null || !known.instance().equals(endpoint.instance())) {
            return;
        }
        if (!answered && !state.gatekeeper().isRateLimited() || known.leaving() && !isLeaving(known.instance())) {
            recordNotice(known, loop.nowMicros());
        }
    }

    private void recordNotice(EndpointNotice received, long nowMicros) {
        logNotice(received);
        state.gatekeeper().recordNotice(received, nowMicros);
        if (received.leaving() && !isLeaving(received.instance())) {
            endpointLeaving(received.instance());
            endpointListener.run();
        }
        advertiseSlots();
    }

    /** Advertises the endpoint again if it can take much more or less work than other hosts know. */
    private void advertiseSlots() {
        int advertised = state.membership().self().slots();
        int change = Math.abs(state.gatekeeper().advertisedSlots() - advertised);
        if (!stopping && change > advertised * ADVERTISED_SLOTS_CHANGE) {
            advertise();
            endpointListener.run();
        }
    }

    /** Returns the restriction that the current endpoint names, or null if it names none. */
    private EndpointNotice restriction() {
        if (endpoint == null) {
            return null;
        }
        EndpointNotice current = new EndpointNotice(
                endpoint.instance(), state.gatekeeper().limitPerSecond(), isLeaving(endpoint.instance()));
        return current.isRestriction() ? current : null;
    }

    /** Logs a notice of the endpoint if it differs from the previous one by more than a small change of the limit. */
    private void logNotice(EndpointNotice next) {
        double limit = notice.maxRequestsPerSecond();
        boolean limitChanged = next.isLimited() && notice.isLimited()
                ? Math.abs(next.maxRequestsPerSecond() - limit) > limit * LOGGED_LIMIT_CHANGE
                : Double.compare(next.maxRequestsPerSecond(), limit) != 0;
        if (limitChanged || next.leaving() != notice.leaving()) {
            LOG.info(
                    "endpoint instance={} limitPerSecond={} before={} leaving={}",
                    next.instance(),
                    next.maxRequestsPerSecond(),
                    limit,
                    next.leaving());
            notice = next;
        }
    }

    /** Advertises the endpoint again if it has started or stopped failing, or if its service time has changed. */
    private void updateHealth() {
        EndpointPhase next = state.gatekeeper().advertisedPhase(loop.nowMicros());
        EndpointPhase advertised = state.membership().self().phase();
        boolean healthChanged = (next == EndpointPhase.FAILING) != (advertised == EndpointPhase.FAILING);
        long serviceTimeMicros = state.gatekeeper().serviceTimeMicros();
        if (healthChanged || serviceTimeMicros != state.membership().self().serviceTimeMicros()) {
            advertise();
        }
        if (!healthChanged) {
            return;
        }
        LOG.info("endpoint phase={} before={}", next, advertised);
        endpointListener.run();
        if (next == EndpointPhase.FAILING) {
            scheduleHealthCheck();
        }
    }

    private void scheduleHealthCheck() {
        loop.schedule(HEALTH_CHECK_PERIOD_MICROS, () -> {
            updateHealth();
            if (state.membership().self().phase() == EndpointPhase.FAILING) {
                scheduleHealthCheck();
            }
        });
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
        parent.callsMade.merge(called, 1, Integer::sum);
        parent.completedCalls += answer.outcome() == Outcome.COMPLETE ? 1 : 0;
        state.gatekeeper()
                .recordDownstreamLevel(
                        parent.message.operation(), called, answer.report().level(), loop.nowMicros());
    }

    private static ExecutionResult executionResult(Execution execution, EndpointTransport.EndpointAnswer answer) {
        return switch (answer.result()) {
            case ANSWERED -> isEndpointFault(execution, answer) ? ExecutionResult.FAILED : ExecutionResult.ANSWERED;
            case REJECTED -> ExecutionResult.REJECTED;
            case TIMED_OUT -> ExecutionResult.TIMED_OUT;
            case ABORTED -> ExecutionResult.CANCELLED;
            case BROKEN, MISMATCHED, NOT_CONNECTED, REPLACED -> ExecutionResult.BROKEN;
        };
    }

    /**
     * Returns whether the endpoint itself failed the call: it answered with an error although no nested call failed.
     */
    private static boolean isEndpointFault(Execution execution, EndpointTransport.EndpointAnswer answer) {
        return answer.result() == EndpointTransport.ExchangeResult.ANSWERED
                && answer.status() >= FIRST_SERVER_ERROR_STATUS
                && answer.status() != DEADLINE_STATUS
                && !execution.nestedFailed;
    }

    private void recordAnswered(String fingerprint) {
        recentlyAnswered.remove(fingerprint);
        recentlyAnswered.add(fingerprint);
        if (recentlyAnswered.size() > MAX_RECENTLY_ANSWERED) {
            recentlyAnswered.remove(recentlyAnswered.iterator().next());
        }
    }

    /**
     * Handles an execution whose connection was lost. If the loss is taken as a crash, the request becomes a suspect
     * unless this endpoint has answered it recently: a request that crashes endpoints is assumed to crash each of them.
     * If not, the loss is kept until the endpoint proves unreachable.
     */
    private List<CrashSuspects.Suspicion> handleLostConnection(Execution execution, long nowMicros) {
        if (crashSignal == CrashSignal.CONNECTION_REFUSED) {
            removeLostExecutionsBefore(nowMicros - CRASH_WINDOW_MICROS);
            lostExecutions.addLast(new LostExecution(execution.message.fingerprint(), nowMicros));
            return List.of();
        }
        if (state.gatekeeper().phase() == EndpointPhase.SERVING) {
            crashCount++;
            changePhase(EndpointPhase.SILENT);
        }
        String crashId = state.membership().self().host() + "/" + crashCount;
        String fingerprint = execution.message.fingerprint();
        if (recentlyAnswered.contains(fingerprint)) {
            return List.of();
        }
        CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(fingerprint, crashId);
        if (state.suspects().add(suspicion)) {
            crashListener.accept(List.of(suspicion));
        }
        return List.of(suspicion);
    }

    /**
     * Handles an endpoint that accepts no connections or was replaced. Requests whose connections were lost shortly
     * before become suspects.
     */
    private void handleUnreachableEndpoint(long nowMicros) {
        changePhase(EndpointPhase.SILENT);
        removeLostExecutionsBefore(nowMicros - CRASH_WINDOW_MICROS);
        List<CrashSuspects.Suspicion> suspicions = new ArrayList<>();
        if (!lostExecutions.isEmpty()) {
            crashCount++;
        }
        String crashId = state.membership().self().host() + "/" + crashCount;
        for (LostExecution lost : lostExecutions) {
            CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(lost.fingerprint(), crashId);
            if (!recentlyAnswered.contains(lost.fingerprint())
                    && state.suspects().add(suspicion)) {
                suspicions.add(suspicion);
            }
        }
        lostExecutions.clear();
        if (!suspicions.isEmpty()) {
            crashListener.accept(suspicions);
        }
    }

    /** Removes losses too old to be attributed to a crash; those without a crash would otherwise accumulate. */
    private void removeLostExecutionsBefore(long micros) {
        while (!lostExecutions.isEmpty() && lostExecutions.peekFirst().atMicros() <= micros) {
            lostExecutions.removeFirst();
        }
    }

    private CallAnswer toCallAnswer(
            Execution execution,
            EndpointTransport.EndpointAnswer answer,
            long durationMicros,
            List<CrashSuspects.Suspicion> suspicions) {
        String host = state.membership().self().host().name();
        int level = state.gatekeeper().shedLevelFor(execution.message.operation(), loop.nowMicros());
        int unspent = execution.budget.remaining();
        long queuedMicros = execution.startedMicros - execution.arrivedMicros + execution.nestedStats.queuedMicros();
        boolean endpointFault = isEndpointFault(execution, answer) && !execution.hasNestedCalls();
        CallAnswer.LoadReport report = new CallAnswer.LoadReport(
                level, executionsInFlight(), durationMicros, queuedMicros, endpointFault, restriction());
        return switch (answer.result()) {
            case ANSWERED -> {
                Outcome outcome = answer.status() >= FIRST_SERVER_ERROR_STATUS ? Outcome.FAILED : Outcome.COMPLETE;
                yield new CallAnswer(
                        outcome,
                        null,
                        answer.status(),
                        answer.body(),
                        unspent,
                        report,
                        null,
                        host,
                        "",
                        List.of(),
                        answer.headers());
            }
            case REJECTED ->
                CallAnswer.refused(
                        RefusalReason.ENDPOINT_REJECTED, "the endpoint did not run the request", report, unspent, host);
            case REPLACED ->
                CallAnswer.refused(
                        RefusalReason.ENDPOINT_REJECTED,
                        "another endpoint uses the address announced on host " + host,
                        report,
                        unspent,
                        host);
            case NOT_CONNECTED ->
                CallAnswer.refused(
                        RefusalReason.NO_ENDPOINT,
                        "the endpoint of host " + host + " is not reachable",
                        report,
                        unspent,
                        host);
            case TIMED_OUT, ABORTED, BROKEN, MISMATCHED ->
                CallAnswer.unknown(
                                "the endpoint of host " + host + " gave no complete answer: " + answer.detail(),
                                host,
                                suspicions)
                        .withReport(report)
                        .withUnspentRetries(execution.hasNestedCalls() ? 0 : unspent);
        };
    }

    /**
     * Returns the number of dispatches that are not answered yet.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return executions.size();
    }

    /**
     * Returns the announcement of the current endpoint.
     *
     * @return the announcement, or null if there was none yet
     */
    public EndpointAnnouncement endpoint() {
        return endpoint;
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
