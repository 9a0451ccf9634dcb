package org.anvillatch.decision.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;

/**
 * The limits on concurrent call trees of all operations at one endpoint. A root request may also use the spare capacity
 * of any less important operation, so that it is not queued while less important work starts.
 *
 * <p>Invariant: {@link #admits} returns false only for a root request whose own operation and all less important ones
 * are at their limits. Not thread safe: owned by the host's decision loop.
 */
final class CallTreeLimits {
    private final Map<OperationName, OperationTrees> operations = new HashMap<>();
    private final Map<Long, RunningTree> runningTrees = new HashMap<>();
    private final TreeSet<Integer> seenImportances = new TreeSet<>();
    private List<Integer> importances = List.of();
    private int slots = 1;

    private static final class OperationTrees {
        private final CallTreeLimit limit;
        private int importance;
        private int running;

        private OperationTrees(int slots) {
            this.limit = new CallTreeLimit(slots);
        }

        private boolean hasCapacity() {
            return running < limit.limit();
        }
    }

    /** A running root request, counted against an operation that may be less important than its own. */
    private record RunningTree(OperationTrees countedAgainst, int importance) {}

    /**
     * Resets the limits for a new endpoint.
     *
     * @param newSlots number of concurrent executions that the endpoint can run
     */
    void reset(int newSlots) {
        slots = newSlots;
        operations.clear();
    }

    /**
     * Sets the importances in use, among which {@link #relativeImportance} determines the position of one.
     *
     * @param inUse importances of all routes
     */
    void setImportances(Collection<Integer> inUse) {
        importances = inUse.stream().distinct().sorted().toList();
    }

    /**
     * Returns whether work may start now.
     *
     * @param work the request; nested work may always start, because its call tree was already admitted
     * @return false if all limits that it may use are reached
     */
    boolean admits(Work work) {
        return work.nested() || findCapacity(work) != null;
    }

    /**
     * Records that work starts.
     *
     * @param work the request
     */
    void recordStart(Work work) {
        OperationTrees available = work.nested() ? null : findCapacity(work);
        if (available != null) {
            available.running++;
            runningTrees.put(work.execution(), new RunningTree(available, Rank.importance(work.rank())));
        }
    }

    private OperationTrees findCapacity(Work work) {
        OperationTrees own = operations.computeIfAbsent(work.operation(), operation -> new OperationTrees(slots));
        own.importance = Rank.importance(work.rank());
        seenImportances.add(own.importance);
        if (own.hasCapacity()) {
            return own;
        }
        for (OperationTrees other : operations.values()) {
            if (other.importance < own.importance && other.hasCapacity()) {
                return other;
            }
        }
        return null;
    }

    /**
     * Records the end of an execution.
     *
     * @param execution identity of the dispatch
     * @param operation the operation that ran
     * @param result how it ended
     * @param durationMicros duration of the execution, including its nested calls, in microseconds
     * @param nestedCalls statistics of its nested calls
     * @param nowMicros current time in microseconds
     */
    void recordEnd(
            long execution,
            OperationName operation,
            ExecutionResult result,
            long durationMicros,
            NestedCallStats nestedCalls,
            long nowMicros) {
        RunningTree ended = runningTrees.remove(execution);
        OperationTrees own = operations.get(operation);
        if (ended == null) {
            return;
        }
        int running = own == null ? 0 : own.running;
        ended.countedAgainst().running--;
        if (own != null && result != ExecutionResult.CANCELLED) {
            own.limit.recordEnd(
                    running, durationMicros, nestedCalls, relativeImportance(ended.importance()), nowMicros);
        }
    }

    /**
     * Returns the maximum number of concurrent root requests.
     *
     * @param executionLimit limit on all executions of the endpoint, which also bounds the result
     * @return at least 1; the limit on all executions until the first root request has arrived
     */
    int capacity(int executionLimit) {
        int sum = 0;
        for (OperationTrees operation : operations.values()) {
            sum += operation.limit.limit();
        }
        return sum == 0 ? executionLimit : Math.min(executionLimit, sum);
    }

    /**
     * Returns the position of an importance among those in use, or among those seen here while {@link #setImportances}
     * has set none. If they are fewer than two or do not include the importance, its position among all possible
     * importances is returned.
     *
     * @param importance the importance
     * @return 0 for the lowest and 1 for the highest
     */
    double relativeImportance(int importance) {
        List<Integer> known = importances.isEmpty() ? List.copyOf(seenImportances) : importances;
        int index = known.indexOf(importance);
        return index < 0 || known.size() < 2
                ? (double) importance / (Rank.IMPORTANCE_LEVELS - 1)
                : (double) index / (known.size() - 1);
    }
}
