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
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.model.ServiceTimeReport;

/**
 * Admission control on the endpoint's own host: decides which work starts, is queued or is refused. It is the only
 * owner of the endpoint's slots, queue and phase, so its decisions need no coordination with other hosts.
 *
 * <p>Invariants: an {@link AdmissionAction.Start} is returned at most once for an execution and never after an
 * {@link AdmissionAction.Refuse} of it; no execution starts while as many run as the limit allows; nothing starts
 * unless the phase accepts new work or faster than the endpoint's own {@link RateLimit} permits. Not thread safe: owned by the host's decision loop.
 */
public final class Gatekeeper {
    /** Queue length, as a fraction of the limit, up to which queued work does not count as overload. */
    public static final double TARGET_QUEUE_RATIO = 0.2;

    /** Maximum number of queued root requests, as a fraction of the maximum number of running ones. */
    public static final double MAX_ROOT_QUEUE_RATIO = 0.5;

    /**
     * Factor on {@link #MAX_ROOT_QUEUE_RATIO} for the maximum length of the whole queue. Nested work may fill more of
     * the queue because refusing it wastes the work that its parent request has already done.
     */
    public static final int MAX_QUEUE_FACTOR = 6;

    private static final int MIN_QUEUE_CAPACITY = 4;

    /** Minimum time until the deadline, as a fraction of the mean latency; work with less is likely to miss it. */
    private static final double MIN_REMAINING_RATIO = 0.8;

    /**
     * Queue timeout of a root request of the lowest importance, as a fraction of its operation's mean latency, since
     * the queue time adds to the latency that the caller sees. The fraction rises to 1 for the highest importance.
     */
    private static final double MIN_QUEUE_TIMEOUT_RATIO = 0.25;

    /** Minimum queue timeout of any root request, in microseconds: two ticks of the host. */
    private static final long MIN_QUEUE_TIMEOUT_MICROS = 20_000;

    private final AdmissionFeatures features;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final ShedLevel shedLevel = new ShedLevel();
    private final Set<Long> running = new HashSet<>();
    private EndpointHealth health = new EndpointHealth();
    private ServiceTimeEstimator serviceTime = new ServiceTimeEstimator();
    private OperationServiceTimes operationTimes = new OperationServiceTimes();
    private final CallTreeLimits treeLimits = new CallTreeLimits();
    private final DownstreamLevels downstream = new DownstreamLevels();
    private final Map<OperationName, LatencyEstimate> latencies = new HashMap<>();
    private ConcurrencyLimit limit = new ConcurrencyLimit(1);
    private RateLimit rateLimit = new RateLimit();

    /** Mean duration of all executions, null before the first answer. */
    private LatencyEstimate duration;

    private EndpointPhase phase = EndpointPhase.ABSENT;

    /**
     * Creates a gatekeeper without an endpoint.
     *
     * @param features enabled mechanisms
     */
    public Gatekeeper(AdmissionFeatures features) {
        this.features = features;
    }

    /**
     * Registers an endpoint that has announced itself and resets the limits, the health and the service time.
     *
     * @param slots number of concurrent executions that the endpoint can run
     */
    public void endpointAnnounced(int slots) {
        limit = new ConcurrencyLimit(slots);
        rateLimit = new RateLimit();
        duration = null;
        treeLimits.reset(slots);
        health = new EndpointHealth();
        serviceTime = new ServiceTimeEstimator();
        operationTimes = new OperationServiceTimes();
        phase = EndpointPhase.SERVING;
    }

    /**
     * Applies what the endpoint says about itself in an answer.
     *
     * @param notice notice of the current endpoint
     * @param nowMicros current time in microseconds
     */
    public void recordNotice(EndpointNotice notice, long nowMicros) {
        rateLimit.update(notice.maxRequestsPerSecond(), nowMicros);
        operationTimes.recordLoad(notice.load());
    }

    /**
     * Returns the slots to advertise to other hosts, which balance calls by the utilization of slots.
     *
     * @return the slots announced by the endpoint, or fewer if its limit on starts per second cannot fill them
     */
    public int advertisedSlots() {
        return Math.min(limit.slots(), rateLimit.concurrency(meanDurationMicros()));
    }

    /**
     * Returns whether the endpoint's limit on starts per second is in force.
     *
     * @return false if any number of executions may start
     */
    public boolean isRateLimited() {
        return rateLimit.isLimited();
    }

    /**
     * Returns the limit on starts per second that is in force.
     *
     * @return executions per second, positive infinity if there is no limit
     */
    public double limitPerSecond() {
        return rateLimit.perSecond();
    }

    /**
     * Sets the importances in use; the position of a request's importance among them determines its queue timeout and
     * the tolerated wait ratio of its nested calls.
     *
     * @param inUse importances of all routes
     */
    public void setImportances(Collection<Integer> inUse) {
        treeLimits.setImportances(inUse);
    }

    /**
     * Changes the phase. If the new phase accepts no new work, all queued work is refused.
     *
     * @param next the new phase
     * @param nowMicros current time in microseconds
     * @return starts of queued work if the new phase accepts new work, else refusals
     */
    public List<AdmissionAction> changePhase(EndpointPhase next, long nowMicros) {
        phase = next;
        if (next.takesNewWork()) {
            return startQueued(nowMicros);
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
     * @param nowMicros current time in microseconds
     * @return the start or refusal of this work unless it is queued, the refusal of evicted work, and starts and
     *     refusals of other queued work
     */
    public List<AdmissionAction> offer(Work work, long nowMicros) {
        if (!phase.takesNewWork()) {
            return List.of(refuse(work, phaseReason(), nowMicros));
        }
        updateShedLevel(nowMicros);
        shedLevel.recordArrival(work.rank());
        if (cannotMeetDeadline(work, nowMicros)) {
            return List.of(refuse(work, RefusalReason.DEADLINE, nowMicros));
        }
        boolean belowLevel = work.rank() < downstream.level(work.operation(), nowMicros);
        if (features.shedLevels() && belowLevel && !work.nested()) {
            return List.of(refuse(work, RefusalReason.OVERLOAD, nowMicros));
        }
        if (hasCapacity(nowMicros) && queue.size() == 0 && treeLimits.admits(work)) {
            return List.of(start(work));
        }
        return enqueue(work, nowMicros);
    }

    private List<AdmissionAction> enqueue(Work work, long nowMicros) {
        Optional<Work> evicted = queue.add(work, maxRootQueue(), maxQueue(), nowMicros);
        List<AdmissionAction> actions = new ArrayList<>();
        evicted.ifPresent(lowest -> actions.add(refuse(lowest, RefusalReason.OVERLOAD, nowMicros)));
        actions.addAll(startQueued(nowMicros));
        return actions;
    }

    /**
     * Records the end of an execution and frees its slot.
     *
     * @param execution identity of the dispatch
     * @param result how it ended
     * @param durationMicros duration of the execution, including its nested calls, in microseconds
     * @param operation the operation that ran
     * @param nestedCalls statistics of its nested calls
     * @param nowMicros current time in microseconds
     * @return starts and refusals of queued work
     */
    public List<AdmissionAction> recordEnd(
            long execution,
            ExecutionResult result,
            long durationMicros,
            OperationName operation,
            NestedCallStats nestedCalls,
            long nowMicros) {
        if (!running.remove(execution)) {
            return List.of();
        }
        treeLimits.recordEnd(execution, operation, result, durationMicros, nestedCalls, nowMicros);
        shedLevel.recordDeparture();
        updateShedLevel(nowMicros);
        if (result != ExecutionResult.CANCELLED) {
            health.recordExecution(result.isEndpointFault(nestedCalls.called()), nowMicros);
        }
        if (result == ExecutionResult.ANSWERED) {
            limit.recordSuccess();
            long serviceMicros = Math.max(0, durationMicros - nestedCalls.executionMicros());
            serviceTime.addSample(serviceMicros);
            operationTimes.addSample(operation, serviceMicros);
            recordLatency(operation, durationMicros, nowMicros);
        } else if (result.lowersLimit()) {
            limit.recordRejection(nowMicros);
        }
        return startQueued(nowMicros);
    }

    private void recordLatency(OperationName operation, long durationMicros, long nowMicros) {
        duration = LatencyEstimate.withSample(duration, durationMicros, nowMicros);
        latencies.compute(
                operation, (name, estimate) -> LatencyEstimate.withSample(estimate, durationMicros, nowMicros));
    }

    /**
     * Removes cancelled work from the queue.
     *
     * @param execution identity of the dispatch
     * @param nowMicros current time in microseconds
     * @return the refusal, or nothing if the work is not queued
     */
    public List<AdmissionAction> cancel(long execution, long nowMicros) {
        if (!queue.remove(execution)) {
            return List.of();
        }
        return List.of(new AdmissionAction.Refuse(execution, RefusalReason.CANCELLED, shedLevel.level()));
    }

    /**
     * Updates the shed level, refuses queued work that cannot meet its deadline or has exceeded its queue timeout, and
     * starts queued work for which there are slots.
     *
     * @param nowMicros current time in microseconds
     * @return refusals and starts of queued work
     */
    public List<AdmissionAction> tick(long nowMicros) {
        updateShedLevel(nowMicros);
        List<AdmissionAction> actions = new ArrayList<>();
        for (Work work : queue.removeIf(entry -> cannotMeetDeadline(entry.work(), nowMicros))) {
            actions.add(refuse(work, RefusalReason.DEADLINE, nowMicros));
        }
        for (Work work : queue.removeIf(entry -> exceedsQueueTimeout(entry, nowMicros))) {
            actions.add(refuse(work, RefusalReason.OVERLOAD, nowMicros));
        }
        actions.addAll(startQueued(nowMicros));
        return actions;
    }

    /**
     * Returns whether the passing of time alone can change what is admitted.
     *
     * @return true while work is queued or the shed level is above 0
     */
    public boolean needsTick() {
        return queue.size() > 0 || shedLevel.level() > 0;
    }

    /**
     * Returns the service time that is advertised to other hosts: the mean time of an execution without nested calls.
     *
     * @return microseconds, or 0 while not known
     */
    public long serviceTimeMicros() {
        return serviceTime.micros();
    }

    /**
     * Returns the service time of one operation, which is reported with each answer.
     *
     * @param operation the operation
     * @return the service time, null if it is not known or the endpoint does not report the pace of its machine
     */
    public ServiceTimeReport serviceTimeOf(OperationName operation) {
        return operationTimes.report(operation);
    }

    /**
     * Returns the phase that is advertised to other hosts.
     *
     * @param nowMicros current time in microseconds
     * @return {@code FAILING} while the endpoint is serving and considered failing, else the current phase
     */
    public EndpointPhase advertisedPhase(long nowMicros) {
        return phase == EndpointPhase.SERVING && health.isFailing(nowMicros) ? EndpointPhase.FAILING : phase;
    }

    /**
     * Records the shed level that was reported for a nested call.
     *
     * @param caller operation that made the nested call
     * @param called operation that was called
     * @param level shed level in the nested call's answer
     * @param nowMicros current time in microseconds
     */
    public void recordDownstreamLevel(OperationName caller, OperationName called, int level, long nowMicros) {
        downstream.record(caller, called, level, nowMicros);
    }

    /**
     * Returns the lowest rank that senders should send for an operation: the higher of this endpoint's own shed level
     * and the highest average level that was reported for an operation that it calls.
     *
     * @param operation the operation
     * @param nowMicros current time in microseconds
     * @return lowest rank that senders should send, 0 if shed levels are disabled
     */
    public int shedLevelFor(OperationName operation, long nowMicros) {
        if (!features.shedLevels()) {
            return 0;
        }
        return Math.max(shedLevel.level(), downstream.level(operation, nowMicros));
    }

    private List<AdmissionAction> startQueued(long nowMicros) {
        List<AdmissionAction> actions = new ArrayList<>();
        while (phase.takesNewWork() && hasCapacity(nowMicros)) {
            Optional<AdmissionQueue.QueuedWork> next = queue.poll(treeLimits::admits);
            if (next.isEmpty()) {
                return actions;
            }
            actions.add(startOrRefuse(next.get(), nowMicros));
        }
        return actions;
    }

    private boolean hasCapacity(long nowMicros) {
        return running.size() < limit.limit() && rateLimit.permitsStart(nowMicros);
    }

    private AdmissionAction startOrRefuse(AdmissionQueue.QueuedWork next, long nowMicros) {
        if (cannotMeetDeadline(next.work(), nowMicros)) {
            return refuse(next.work(), RefusalReason.DEADLINE, nowMicros);
        }
        return start(next.work());
    }

    private AdmissionAction start(Work work) {
        running.add(work.execution());
        rateLimit.recordStart();
        treeLimits.recordStart(work);
        return new AdmissionAction.Start(work.execution());
    }

    private boolean cannotMeetDeadline(Work work, long nowMicros) {
        LatencyEstimate estimate = features.dropDoomed() ? latencies.get(work.operation()) : null;
        double latency = estimate == null ? 0 : estimate.micros();
        return work.deadlineMicros() - nowMicros <= latency * MIN_REMAINING_RATIO;
    }

    /**
     * Returns whether a root request has exceeded its queue timeout. Without the timeout, a steady arrival of higher
     * ranks would keep the request queued until its deadline; an early refusal leaves its caller time to retry.
     */
    private boolean exceedsQueueTimeout(AdmissionQueue.QueuedWork entry, long nowMicros) {
        Work work = entry.work();
        LatencyEstimate latency = latencies.get(work.operation());
        if (work.nested() || latency == null) {
            return false;
        }
        double ratio = MIN_QUEUE_TIMEOUT_RATIO
                + (1 - MIN_QUEUE_TIMEOUT_RATIO) * treeLimits.relativeImportance(Rank.importance(work.rank()));
        return nowMicros - entry.arrivedMicros() > Math.max(MIN_QUEUE_TIMEOUT_MICROS, latency.micros() * ratio);
    }

    private AdmissionAction refuse(Work work, RefusalReason reason, long nowMicros) {
        shedLevel.recordDeparture();
        LatencyEstimate estimate = latencies.get(work.operation());
        if (reason == RefusalReason.DEADLINE && estimate != null) {
            estimate.recordRefusal(nowMicros);
        }
        return new AdmissionAction.Refuse(work.execution(), reason, shedLevelFor(work.operation(), nowMicros));
    }

    private RefusalReason phaseReason() {
        return phase == EndpointPhase.ABSENT || phase == EndpointPhase.SILENT
                ? RefusalReason.NO_ENDPOINT
                : RefusalReason.DRAINING;
    }

    /** Updates the shed level from the queue that is longer relative to its target: of root requests or of all work. */
    private void updateShedLevel(long nowMicros) {
        int rootTarget = queueTarget(rootCapacity());
        int target = queueTarget(concurrency());
        boolean rootsLonger = (long) queue.rootCount() * target > (long) queue.size() * rootTarget;
        shedLevel.sample(rootsLonger ? queue.rootCount() : queue.size(), rootsLonger ? rootTarget : target, nowMicros);
    }

    private static int queueTarget(int capacity) {
        return (int) Math.ceil(capacity * TARGET_QUEUE_RATIO);
    }

    /**
     * Returns the number of executions that can run at a time: the lower of the concurrency limit and the concurrency
     * that the rate limit permits. The queue is sized by it, so that the queue time is bounded under either limit.
     */
    private int concurrency() {
        return Math.min(limit.limit(), rateLimit.concurrency(meanDurationMicros()));
    }

    private double meanDurationMicros() {
        return duration == null ? 0 : duration.micros();
    }

    private int rootCapacity() {
        return treeLimits.capacity(concurrency());
    }

    private int maxRootQueue() {
        return Math.max(MIN_QUEUE_CAPACITY, (int) (rootCapacity() * MAX_ROOT_QUEUE_RATIO));
    }

    private int maxQueue() {
        return MAX_QUEUE_FACTOR * Math.max(MIN_QUEUE_CAPACITY, (int) (concurrency() * MAX_ROOT_QUEUE_RATIO));
    }

    /**
     * Returns the phase of the endpoint.
     *
     * @return the current phase
     */
    public EndpointPhase phase() {
        return phase;
    }

    /**
     * Returns the status that this host reports to senders and operators.
     *
     * @return the current status
     */
    public GatekeeperStatus status() {
        return new GatekeeperStatus(
                phase, limit.slots(), limit.limit(), running.size(), queue.size(), shedLevel.level());
    }
}
