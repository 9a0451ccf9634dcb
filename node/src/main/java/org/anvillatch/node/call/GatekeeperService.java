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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the decisions of this host's {@link Gatekeeper}: sends started work to the endpoint and answers senders.
 *
 * <p>Invariants: each dispatch is answered exactly once; a dispatch that is answered "not run" was never sent to the
 * endpoint, or the endpoint itself said that it did not run it. Owned by the decision loop.
 */
public final class GatekeeperService {
    private static final Logger LOG = LoggerFactory.getLogger(GatekeeperService.class);
    private static final int SERVER_ERROR = 500;

    /** The endpoint's answer when the deadline passes, which is no fault of its own. */
    private static final int DEADLINE_STATUS = 504;

    private static final int RECENT_SUCCESSES = 1_000;

    /** Time between two looks at the queue while anything waits, in microseconds. */
    private static final long TICK_PERIOD_MICROS = 10_000;

    /** Time between two looks at a failing endpoint, in microseconds: a tenth of its shortest rest. */
    private static final long HEALTH_MICROS = 100_000;

    /** Time between a broken answer and the sign of a crash that it can belong to, in microseconds. */
    private static final long CRASH_WINDOW_MICROS = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final EndpointTransport client;
    private final CallDecisionRecorder decisions;
    private final MetricRegistry metrics;
    private final Map<Long, Execution> executions = new HashMap<>();
    private final Map<String, Execution> startedByPath = new HashMap<>();
    private final Set<String> recentSuccesses = new LinkedHashSet<>();
    private final CrashSignal crashSignal;
    private final Deque<BrokenExecution> brokenExecutions = new ArrayDeque<>();
    private Consumer<List<CrashSuspects.Suspicion>> crashListener = suspicions -> {};
    private Runnable healthListener = () -> {};
    private EndpointAnnouncement endpoint;
    private boolean ticking;
    private long nextExecution = 1;
    private long crashes;

    /**
     * Creates the gatekeeping of a host.
     *
     * @param loop runs callbacks
     * @param state decision state of the host
     * @param client sends to the endpoint
     * @param decisions receives every decision
     * @param metrics registry for counts
     * @param crashSignal what shows that the endpoint has crashed
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
    }

    /**
     * Sets who hears of requests that were running when the endpoint crashed.
     *
     * @param listener receives new suspicions
     */
    public void setCrashListener(Consumer<List<CrashSuspects.Suspicion>> listener) {
        crashListener = listener;
    }

    /**
     * Sets who hears that the endpoint begins or ceases to fail its work.
     *
     * @param listener called on the loop
     */
    public void setHealthListener(Runnable listener) {
        healthListener = listener;
    }

    private record BrokenExecution(String fingerprint, long atMicros) {}

    /** One dispatch at this host. Owned by the decision loop. */
    public final class Execution {
        private final long number;
        private final DispatchMessage message;
        private final Consumer<CallAnswer> reply;
        private final long arrivedMicros;
        private final long deadlineMicros;
        private final RetryBudget budget;
        private final Set<String> nestedNumbers = new HashSet<>();
        private final List<CallRouter.RoutedCall> nested = new ArrayList<>();
        private Runnable abort = () -> {};
        private long startedMicros;
        private boolean started;
        private int nestedCount;
        private NestedCallStats below = NestedCallStats.NONE;
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
         * Returns the call that runs.
         *
         * @return the sender's message
         */
        public DispatchMessage message() {
            return message;
        }

        /**
         * Returns the time after which nobody waits.
         *
         * @return microseconds on this host's clock
         */
        public long deadlineMicros() {
            return deadlineMicros;
        }

        /**
         * Returns the retries that nested calls may share.
         *
         * @return the budget, owned by the loop
         */
        public RetryBudget budget() {
            return budget;
        }

        /**
         * Names the next nested call.
         *
         * @param given number given by the endpoint, or null for the next one
         * @return the number, or null if the endpoint has used it before
         */
        public String reserveCallNumber(String given) {
            String name = given == null ? Integer.toString(nestedCount++) : given;
            return nestedNumbers.add(name) ? name : null;
        }

        /**
         * Registers a nested call, which is cancelled if this execution is.
         *
         * @param route the nested call
         */
        public void addNestedCall(CallRouter.RoutedCall route) {
            nested.add(route);
        }

        /** Calls would be made again by a second run, and count as repeats at every service below. */
        private boolean hasCalled() {
            return below.called() || !nested.isEmpty();
        }

        /**
         * Returns the identity that the endpoint is given.
         *
         * @return host, life and number
         */
        public String name() {
            return state.membership().self().host() + "/" + number;
        }
    }

    /**
     * Offers a call to the gatekeeper.
     *
     * @param message the call
     * @param reply receives the answer
     * @return number of the dispatch on this host
     */
    public long dispatch(DispatchMessage message, Consumer<CallAnswer> reply) {
        long now = loop.nowMicros();
        long number = nextExecution++;
        Execution execution = new Execution(number, message, reply, now);
        executions.put(number, execution);
        if (endpoint != null && !endpoint.service().equals(message.operation().service())) {
            refuse(execution, RefusalReason.NO_ENDPOINT, 0);
        } else if (state.isQuarantined(message.fingerprint())) {
            refuse(execution, RefusalReason.QUARANTINED, 0);
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
     * Tells whether a dispatch is not answered yet.
     *
     * @param number number of the dispatch
     * @return true while it waits or runs
     */
    public boolean isPending(long number) {
        return executions.containsKey(number);
    }

    /**
     * Withdraws a dispatch; it is still answered.
     *
     * @param number number of the dispatch
     */
    public void cancel(long number) {
        Execution execution = executions.get(number);
        if (execution == null) {
            return;
        }
        List<CallRouter.RoutedCall> nested = List.copyOf(execution.nested);
        nested.forEach(CallRouter.RoutedCall::cancel);
        if (execution.started) {
            execution.abort.run();
        } else {
            perform(state.gatekeeper().cancel(number, loop.nowMicros()));
        }
    }

    /** Lets the gatekeeper drop overdue work, again and again while anything waits or is shed. */
    private void tick() {
        ticking = false;
        perform(state.gatekeeper().tick(loop.nowMicros()));
    }

    private void tickWhileNeeded() {
        if (!ticking && state.gatekeeper().needsTick()) {
            ticking = true;
            loop.schedule(TICK_PERIOD_MICROS, this::tick);
        }
    }

    /**
     * Takes the endpoint's announcement; one with another instance replaces the endpoint.
     *
     * @param announcement what the endpoint says
     */
    public void endpointAnnounced(EndpointAnnouncement announcement) {
        boolean same = endpoint != null && endpoint.instance().equals(announcement.instance());
        if (same && state.gatekeeper().phase() == EndpointPhase.SILENT) {
            changePhase(EndpointPhase.SERVING);
            applyDrain();
            return;
        }
        if (same && state.gatekeeper().phase() == EndpointPhase.SERVING) {
            return;
        }
        endpoint = announcement;
        client.setMaxConnections(announcement.connections());
        state.gatekeeper().endpointAnnounced(announcement.slots());
        applyDrain();
        publish();
    }

    /**
     * Changes the phase of the endpoint.
     *
     * @param phase the new phase
     */
    public void changePhase(EndpointPhase phase) {
        if (state.gatekeeper().phase() != phase) {
            perform(state.gatekeeper().changePhase(phase, loop.nowMicros()));
            publish();
        }
    }

    /** Applies what operators have drained. */
    public void applyDrain() {
        Set<String> drained = state.drained();
        boolean drain = drained.contains(state.membership().self().host().name())
                || drained.contains(state.membership().self().domain());
        changePhase(state.gatekeeper().phase().drained(drain));
    }

    private void publish() {
        GatekeeperStatus status = state.gatekeeper().status();
        String service = endpoint == null ? "" : endpoint.service();
        EndpointPhase phase = state.gatekeeper().advertisedPhase(loop.nowMicros());
        state.membership()
                .advertiseEndpoint(
                        service, status.slots(), phase, state.gatekeeper().serviceTimeMicros());
    }

    /**
     * Finds an execution by the name that its endpoint was given.
     *
     * @param name value of {@code Anvillatch-Context}
     * @return the execution, or null if it has ended or never was
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
     * Finds an execution by the place of its call.
     *
     * @param path place of the call within its root request
     * @return the execution, or null if no such call runs at this host's endpoint
     */
    public Execution findByCallPath(String path) {
        return startedByPath.get(path);
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
        tickWhileNeeded();
    }

    private void start(Execution execution) {
        long now = loop.nowMicros();
        execution.started = true;
        execution.startedMicros = now;
        startedByPath.put(execution.message.context().path(), execution);
        record(execution, "start", "", 0);
        execution.abort = client.send(
                endpoint,
                execution.name(),
                execution.message,
                execution.deadlineMicros - now,
                answer -> loop.execute(() -> ended(execution, answer)));
    }

    private void refuse(Execution execution, RefusalReason reason, int level) {
        executions.remove(execution.number);
        record(execution, "refuse", reason.wireName(), level);
        metrics.counter("gatekeeper.refused." + reason.wireName()).inc();
        String host = state.membership().self().host().name();
        long waited = loop.nowMicros() - execution.arrivedMicros;
        CallAnswer.LoadReport report = new CallAnswer.LoadReport(level, busy(), 0, waited);
        String detail = "host " + host + " refuses: " + reason.wireName();
        execution.reply.accept(CallAnswer.refused(reason, detail, report, execution.budget.remaining(), host));
    }

    private int busy() {
        GatekeeperStatus status = state.gatekeeper().status();
        return status.running() + status.waiting();
    }

    private void ended(Execution execution, EndpointTransport.EndpointAnswer answer) {
        executions.remove(execution.number);
        startedByPath.remove(execution.message.context().path(), execution);
        long now = loop.nowMicros();
        long duration = now - execution.startedMicros;
        List<AdmissionAction> next = state.gatekeeper()
                .finished(
                        execution.number,
                        ending(execution, answer),
                        duration,
                        execution.message.operation(),
                        execution.below,
                        now);
        List<CrashSuspects.Suspicion> suspicions = List.of();
        if (answer.result() == EndpointTransport.ExchangeResult.BROKEN) {
            suspicions = endpointBroke(execution, now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.NOT_CONNECTED
                || answer.result() == EndpointTransport.ExchangeResult.REPLACED) {
            endpointGone(now);
        } else if (answer.result() == EndpointTransport.ExchangeResult.ANSWERED) {
            rememberSuccess(execution.message.fingerprint());
        }
        execution.reply.accept(toCallAnswer(execution, answer, duration, suspicions));
        perform(next);
        noteHealth();
    }

    /** Tells other hosts when the endpoint begins to fail its work, and when it is worth another try. */
    private void noteHealth() {
        EndpointPhase next = state.gatekeeper().advertisedPhase(loop.nowMicros());
        EndpointPhase told = state.membership().self().phase();
        boolean healthChanged = (next == EndpointPhase.FAILING) != (told == EndpointPhase.FAILING);
        long serviceTimeMicros = state.gatekeeper().serviceTimeMicros();
        if (healthChanged || serviceTimeMicros != state.membership().self().serviceTimeMicros()) {
            publish();
        }
        if (!healthChanged) {
            return;
        }
        LOG.info("endpoint phase={} before={}", next, told);
        healthListener.run();
        if (next == EndpointPhase.FAILING) {
            watchHealth();
        }
    }

    private void watchHealth() {
        loop.schedule(HEALTH_MICROS, () -> {
            noteHealth();
            if (state.membership().self().phase() == EndpointPhase.FAILING) {
                watchHealth();
            }
        });
    }

    /**
     * Learns what a nested call has met.
     *
     * @param parent the execution that made the call
     * @param called the operation that was called
     * @param answer the call's answer
     */
    public void recordNestedAnswer(Execution parent, OperationName called, CallAnswer answer) {
        boolean refused = answer.reason() == RefusalReason.OVERLOAD || answer.reason() == RefusalReason.DEADLINE;
        parent.below = parent.below.plus(answer.report().queuedMicros(), refused);
        parent.below = parent.below.plusExecution(answer.report().durationMicros());
        parent.nestedFailed |= answer.outcome() != Outcome.COMPLETE;
        state.gatekeeper()
                .recordDownstreamLevel(
                        parent.message.operation(), called, answer.report().level(), loop.nowMicros());
    }

    private static ExecutionResult ending(Execution execution, EndpointTransport.EndpointAnswer answer) {
        return switch (answer.result()) {
            case ANSWERED -> isOwnFault(execution, answer) ? ExecutionResult.FAILED : ExecutionResult.ANSWERED;
            case REJECTED -> ExecutionResult.REJECTED;
            case TIMED_OUT -> ExecutionResult.TIMED_OUT;
            case ABORTED -> ExecutionResult.CANCELLED;
            case BROKEN, MISMATCHED, NOT_CONNECTED, REPLACED -> ExecutionResult.BROKEN;
        };
    }

    /** A failure is the endpoint's own if all calls that the execution made have succeeded. */
    private static boolean isOwnFault(Execution execution, EndpointTransport.EndpointAnswer answer) {
        return answer.result() == EndpointTransport.ExchangeResult.ANSWERED
                && answer.status() >= SERVER_ERROR
                && answer.status() != DEADLINE_STATUS
                && !execution.nestedFailed;
    }

    private void rememberSuccess(String fingerprint) {
        recentSuccesses.remove(fingerprint);
        recentSuccesses.add(fingerprint);
        if (recentSuccesses.size() > RECENT_SUCCESSES) {
            recentSuccesses.remove(recentSuccesses.iterator().next());
        }
    }

    /**
     * Suspects everything that ran when the endpoint's connection broke. A request that this endpoint has completed
     * before is not suspected, since a request that crashes endpoints crashes each of them.
     */
    private List<CrashSuspects.Suspicion> endpointBroke(Execution broken, long nowMicros) {
        if (crashSignal == CrashSignal.CONNECTION_REFUSED) {
            forgetBrokenBefore(nowMicros - CRASH_WINDOW_MICROS);
            brokenExecutions.addLast(new BrokenExecution(broken.message.fingerprint(), nowMicros));
            return List.of();
        }
        if (state.gatekeeper().phase() == EndpointPhase.SERVING) {
            crashes++;
            changePhase(EndpointPhase.SILENT);
        }
        String crash = state.membership().self().host() + "/" + crashes;
        String fingerprint = broken.message.fingerprint();
        if (recentSuccesses.contains(fingerprint)) {
            return List.of();
        }
        CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(fingerprint, crash);
        if (state.suspects().add(suspicion)) {
            crashListener.accept(List.of(suspicion));
        }
        return List.of(suspicion);
    }

    /** The endpoint takes no connections: what broke just before was running when it crashed. */
    private void endpointGone(long nowMicros) {
        changePhase(EndpointPhase.SILENT);
        forgetBrokenBefore(nowMicros - CRASH_WINDOW_MICROS);
        List<CrashSuspects.Suspicion> suspicions = new ArrayList<>();
        if (!brokenExecutions.isEmpty()) {
            crashes++;
        }
        String crash = state.membership().self().host() + "/" + crashes;
        for (BrokenExecution broken : brokenExecutions) {
            CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(broken.fingerprint(), crash);
            if (!recentSuccesses.contains(broken.fingerprint())
                    && state.suspects().add(suspicion)) {
                suspicions.add(suspicion);
            }
        }
        brokenExecutions.clear();
        if (!suspicions.isEmpty()) {
            crashListener.accept(suspicions);
        }
    }

    /** Answers are lost without a crash as well; what is too old to belong to one must not pile up. */
    private void forgetBrokenBefore(long micros) {
        while (!brokenExecutions.isEmpty() && brokenExecutions.peekFirst().atMicros() <= micros) {
            brokenExecutions.removeFirst();
        }
    }

    private CallAnswer toCallAnswer(
            Execution execution,
            EndpointTransport.EndpointAnswer answer,
            long duration,
            List<CrashSuspects.Suspicion> suspicions) {
        String host = state.membership().self().host().name();
        int level = state.gatekeeper().shedLevelFor(execution.message.operation(), loop.nowMicros());
        int unspent = execution.budget.remaining();
        long waited = execution.startedMicros - execution.arrivedMicros + execution.below.queuedMicros();
        boolean endpointFault = isOwnFault(execution, answer) && !execution.hasCalled();
        CallAnswer.LoadReport report = new CallAnswer.LoadReport(level, busy(), duration, waited, endpointFault);
        return switch (answer.result()) {
            case ANSWERED -> {
                Outcome outcome = answer.status() >= SERVER_ERROR ? Outcome.FAILED : Outcome.COMPLETE;
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
                        "another endpoint has the address of host " + host,
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
                        .withUnspentRetries(execution.hasCalled() ? 0 : unspent);
        };
    }

    /**
     * Returns the dispatches that are not answered yet.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return executions.size();
    }

    /**
     * Returns the endpoint that announced itself.
     *
     * @return the announcement, or null if there was none
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
