package org.anvillatch.decision.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.model.RefusalReason;

/**
 * Decides on the endpoint's own host which work starts, waits or is refused. It alone owns the endpoint's slots, queue
 * and drain state, so its word needs no agreement with other hosts.
 *
 * <p>Invariants: a {@link AdmissionAction.Start} is returned at most once for an execution and never after a
 * {@link AdmissionAction.Refuse} of it; no more executions run than the limit allows; nothing starts unless the phase
 * takes new work. Not thread safe: owned by the host's decision loop.
 */
public final class Gatekeeper {
    /** Length of the queue, as a share of the limit, up to which waiting is no sign of overload. */
    public static final double QUEUE_SHARE = 0.2;

    /** Length of the queue, as a share of the limit, up to which root requests may wait. */
    public static final double ROOT_QUEUE_SHARE = 0.5;

    /** How many times longer the queue may grow by nested work, whose refusal wastes what was done above it. */
    public static final int NESTED_QUEUE_FACTOR = 6;

    private static final int LEAST_QUEUE = 4;

    /** Part of the usual execution that must be left for work to begin; with less it will not finish in time. */
    private static final double NEEDED_SHARE = 0.8;

    /**
     * Part of its usual execution that a root request of the least importance waits at most; it adds as much to what its
     * caller sees. The most important ones wait for a whole execution.
     */
    private static final double LEAST_WAIT_SHARE = 0.25;

    /** Wait that is allowed to any root request: two ticks of the host, in microseconds. */
    private static final long LEAST_WAIT_MICROS = 20_000;

    private static final double LATENCY_WEIGHT = 0.1;

    private final AdmissionFeatures features;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final ShedLevel shedLevel = new ShedLevel();
    private final Set<Long> running = new HashSet<>();
    private EndpointHealth health = new EndpointHealth();
    private ServiceTimeEstimator usualTime = new ServiceTimeEstimator();
    private final CallTreeLimits trees = new CallTreeLimits();
    private final DownstreamLevels downstream = new DownstreamLevels();
    private final Map<OperationName, Double> latencyMicros = new HashMap<>();
    private ConcurrencyLimit limit = new ConcurrencyLimit(1);
    private EndpointPhase phase = EndpointPhase.ABSENT;

    /**
     * Creates a gatekeeper without an endpoint.
     *
     * @param features which mechanisms are in use
     */
    public Gatekeeper(AdmissionFeatures features) {
        this.features = features;
    }

    /**
     * Takes an endpoint's announcement.
     *
     * @param slots executions that the endpoint says it can run at a time
     */
    public void endpointAnnounced(int slots) {
        limit = new ConcurrencyLimit(slots);
        trees.reset(slots);
        health = new EndpointHealth();
        usualTime = new ServiceTimeEstimator();
        phase = EndpointPhase.SERVING;
    }

    /**
     * Sets the importances that are in use, so that the most and the least important can be told.
     *
     * @param inUse importances of all routes
     */
    public void setImportances(Collection<Integer> inUse) {
        trees.setImportances(inUse);
    }

    /**
     * Changes the phase; work that waits is refused if the new phase takes no new work.
     *
     * @param next the new phase
     * @param nowMicros current time
     * @return refusals of the work that waited
     */
    public List<AdmissionAction> changePhase(EndpointPhase next, long nowMicros) {
        phase = next;
        if (next.takesNewWork()) {
            return startWaiting(nowMicros);
        }
        List<AdmissionAction> actions = new ArrayList<>();
        for (Work work : queue.clear()) {
            actions.add(refuse(work, phaseReason(), nowMicros));
        }
        return actions;
    }

    /**
     * Decides on newly arrived work.
     *
     * @param work the request
     * @param nowMicros current time
     * @return a start or a refusal of this work, a refusal of evicted work, or nothing while the work waits
     */
    public List<AdmissionAction> offer(Work work, long nowMicros) {
        if (!phase.takesNewWork()) {
            return List.of(refuse(work, phaseReason(), nowMicros));
        }
        advanceLevel(nowMicros);
        shedLevel.arrived(work.rank());
        if (isDoomed(work, nowMicros)) {
            return List.of(refuse(work, RefusalReason.DEADLINE, nowMicros));
        }
        boolean excluded = work.rank() < downstream.level(work.operation(), nowMicros);
        if (features.shedLevels() && excluded && !work.nested()) {
            return List.of(refuse(work, RefusalReason.OVERLOAD, nowMicros));
        }
        if (running.size() < limit.limit() && queue.size() == 0 && trees.admits(work)) {
            return List.of(begin(work));
        }
        return enqueue(work, nowMicros);
    }

    private List<AdmissionAction> enqueue(Work work, long nowMicros) {
        Optional<Work> evicted = queue.add(work, rootQueue(), capacity(), nowMicros);
        List<AdmissionAction> actions = new ArrayList<>();
        evicted.ifPresent(lowest -> actions.add(refuse(lowest, RefusalReason.OVERLOAD, nowMicros)));
        actions.addAll(startWaiting(nowMicros));
        return actions;
    }

    /**
     * Frees the slot of an execution.
     *
     * @param execution identity of the dispatch
     * @param ending how it ended
     * @param durationMicros how long it ran
     * @param operation the operation that ran
     * @param below what its nested calls have met
     * @param nowMicros current time
     * @return starts and refusals of work that waited
     */
    public List<AdmissionAction> finished(
            long execution,
            ExecutionResult ending,
            long durationMicros,
            OperationName operation,
            NestedCallStats below,
            long nowMicros) {
        if (!running.remove(execution)) {
            return List.of();
        }
        trees.ended(execution, operation, ending, durationMicros, below, nowMicros);
        shedLevel.ended();
        advanceLevel(nowMicros);
        if (ending != ExecutionResult.CANCELLED) {
            health.ended(ending.isEndpointFault(below.called()), nowMicros);
        }
        if (ending == ExecutionResult.ANSWERED) {
            limit.succeeded();
            usualTime.ended(Math.max(0, durationMicros - below.executionMicros()));
            latencyMicros.merge(
                    operation, (double) durationMicros, (old, latest) -> old + (latest - old) * LATENCY_WEIGHT);
        } else if (ending.lowersLimit()) {
            limit.rejected(nowMicros);
        }
        return startWaiting(nowMicros);
    }

    /**
     * Removes waiting work that nobody wants any more.
     *
     * @param execution identity of the dispatch
     * @param nowMicros current time
     * @return the refusal, or nothing if the work runs or is unknown
     */
    public List<AdmissionAction> cancel(long execution, long nowMicros) {
        if (!queue.remove(execution)) {
            return List.of();
        }
        return List.of(new AdmissionAction.Refuse(execution, RefusalReason.CANCELLED, shedLevel.level()));
    }

    /**
     * Drops work that has waited enough and closes the window of the shed level.
     *
     * @param nowMicros current time
     * @return refusals of that work and starts of work that fits
     */
    public List<AdmissionAction> tick(long nowMicros) {
        advanceLevel(nowMicros);
        List<AdmissionAction> actions = new ArrayList<>();
        for (Work work : queue.removeIf(waiting -> isDoomed(waiting.work(), nowMicros))) {
            actions.add(refuse(work, RefusalReason.DEADLINE, nowMicros));
        }
        for (Work work : queue.removeIf(waiting -> isStarved(waiting, nowMicros))) {
            actions.add(refuse(work, RefusalReason.OVERLOAD, nowMicros));
        }
        actions.addAll(startWaiting(nowMicros));
        return actions;
    }

    /**
     * Tells whether time alone can change what is admitted.
     *
     * @return true while work waits or a level is in force
     */
    public boolean needsTick() {
        return queue.size() > 0 || shedLevel.level() > 0;
    }

    /**
     * Returns the usual time of an execution without its calls, as other hosts are told.
     *
     * @return microseconds, or 0 while not known
     */
    public long serviceTimeMicros() {
        return usualTime.micros();
    }

    /**
     * Returns the phase that other hosts are told.
     *
     * @param nowMicros current time
     * @return the phase in force, or that of a failing endpoint while it serves and fails work
     */
    public EndpointPhase advertisedPhase(long nowMicros) {
        return phase == EndpointPhase.SERVING && health.isFailing(nowMicros) ? EndpointPhase.FAILING : phase;
    }

    /**
     * Learns the level that a nested call has met.
     *
     * @param caller operation that made the nested call
     * @param called operation that was called
     * @param level level in the nested call's answer
     * @param nowMicros current time
     */
    public void recordDownstreamLevel(OperationName caller, OperationName called, int level, long nowMicros) {
        downstream.heard(caller, called, level, nowMicros);
    }

    /**
     * Returns the lowest rank that senders should send for an operation: the higher of this endpoint's own level and the
     * average level met by the calls that the operation makes in turn.
     *
     * @param operation the operation
     * @param nowMicros current time
     * @return lowest admitted rank
     */
    public int shedLevelFor(OperationName operation, long nowMicros) {
        if (!features.shedLevels()) {
            return 0;
        }
        return Math.max(shedLevel.level(), downstream.level(operation, nowMicros));
    }

    private List<AdmissionAction> startWaiting(long nowMicros) {
        List<AdmissionAction> actions = new ArrayList<>();
        while (phase.takesNewWork() && running.size() < limit.limit()) {
            Optional<AdmissionQueue.QueuedWork> next = queue.poll(trees::admits);
            if (next.isEmpty()) {
                return actions;
            }
            actions.add(startOrDrop(next.get(), nowMicros));
        }
        return actions;
    }

    private AdmissionAction startOrDrop(AdmissionQueue.QueuedWork next, long nowMicros) {
        if (isDoomed(next.work(), nowMicros)) {
            return refuse(next.work(), RefusalReason.DEADLINE, nowMicros);
        }
        return begin(next.work());
    }

    private AdmissionAction begin(Work work) {
        running.add(work.execution());
        trees.begin(work);
        return new AdmissionAction.Start(work.execution());
    }

    private boolean isDoomed(Work work, long nowMicros) {
        double expected = features.dropDoomed() ? latencyMicros.getOrDefault(work.operation(), 0.0) : 0;
        return work.deadlineMicros() - nowMicros <= expected * NEEDED_SHARE;
    }

    /** Higher ranks that keep coming would hold a root request until its deadline; its caller can rather come back. */
    private boolean isStarved(AdmissionQueue.QueuedWork waiting, long nowMicros) {
        Work work = waiting.work();
        Double usual = latencyMicros.get(work.operation());
        if (work.nested() || usual == null) {
            return false;
        }
        double share = LEAST_WAIT_SHARE + (1 - LEAST_WAIT_SHARE) * trees.place(Rank.importance(work.rank()));
        return nowMicros - waiting.arrivedMicros() > Math.max(LEAST_WAIT_MICROS, usual * share);
    }

    private AdmissionAction refuse(Work work, RefusalReason reason, long nowMicros) {
        shedLevel.ended();
        return new AdmissionAction.Refuse(work.execution(), reason, shedLevelFor(work.operation(), nowMicros));
    }

    private RefusalReason phaseReason() {
        return phase == EndpointPhase.ABSENT || phase == EndpointPhase.SILENT
                ? RefusalReason.NO_ENDPOINT
                : RefusalReason.DRAINING;
    }

    /** The level follows the queue that is longer for its capacity: that of root requests or that of all work. */
    private void advanceLevel(long nowMicros) {
        int rootTarget = queueTarget(rootCapacity());
        int target = queueTarget(limit.limit());
        boolean rootsLonger = (long) queue.roots() * target > (long) queue.size() * rootTarget;
        shedLevel.advance(rootsLonger ? queue.roots() : queue.size(), rootsLonger ? rootTarget : target, nowMicros);
    }

    private static int queueTarget(int capacity) {
        return (int) Math.ceil(capacity * QUEUE_SHARE);
    }

    private int rootCapacity() {
        return trees.capacity(limit.limit());
    }

    private int rootQueue() {
        return Math.max(LEAST_QUEUE, (int) (rootCapacity() * ROOT_QUEUE_SHARE));
    }

    private int capacity() {
        return NESTED_QUEUE_FACTOR * Math.max(LEAST_QUEUE, (int) (limit.limit() * ROOT_QUEUE_SHARE));
    }

    /**
     * Returns the phase of the endpoint.
     *
     * @return the phase in force
     */
    public EndpointPhase phase() {
        return phase;
    }

    /**
     * Returns what this host reports to senders and operators.
     *
     * @return counts at this moment
     */
    public GatekeeperStatus status() {
        return new GatekeeperStatus(
                phase, limit.slots(), limit.limit(), running.size(), queue.size(), shedLevel.level());
    }
}
