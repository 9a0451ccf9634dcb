package org.anvillatch.decision.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;

/**
 * The limits on running trees of all operations at one endpoint. A request may use the room of any less important operation,
 * so that it is not held back while lesser work begins.
 *
 * <p>Invariant: a root request that does not fit finds no room in any operation of less importance. Not thread safe: owned by
 * the host's decision loop.
 */
final class CallTreeLimits {
    private final Map<OperationName, Share> shares = new HashMap<>();
    private final Map<Long, Charge> charges = new HashMap<>();
    private final TreeSet<Integer> seen = new TreeSet<>();
    private List<Integer> importances = List.of();
    private int slots = 1;

    private static final class Share {
        private final CallTreeLimit limit;
        private int importance;
        private int running;

        private Share(int slots) {
            this.limit = new CallTreeLimit(slots);
        }

        private boolean hasRoom() {
            return running < limit.limit();
        }
    }

    private record Charge(Share share, int importance) {}

    /**
     * Starts over with another endpoint.
     *
     * @param newSlots executions that it can run at a time
     */
    void reset(int newSlots) {
        slots = newSlots;
        shares.clear();
    }

    /**
     * Sets the importances that are in use, so that the most and the least important can be told.
     *
     * @param inUse importances of all routes
     */
    void setImportances(Collection<Integer> inUse) {
        importances = inUse.stream().distinct().sorted().toList();
    }

    /**
     * Tells whether work may begin now.
     *
     * @param work the request; nested work always may, since its tree was admitted
     * @return false if all room for it is taken
     */
    boolean admits(Work work) {
        return work.nested() || roomFor(work) != null;
    }

    /**
     * Notes that work begins.
     *
     * @param work the request
     */
    void begin(Work work) {
        Share room = work.nested() ? null : roomFor(work);
        if (room != null) {
            room.running++;
            charges.put(work.execution(), new Charge(room, Rank.importance(work.rank())));
        }
    }

    private Share roomFor(Work work) {
        Share own = shares.computeIfAbsent(work.operation(), operation -> new Share(slots));
        own.importance = Rank.importance(work.rank());
        seen.add(own.importance);
        if (own.hasRoom()) {
            return own;
        }
        for (Share other : shares.values()) {
            if (other.importance < own.importance && other.hasRoom()) {
                return other;
            }
        }
        return null;
    }

    /**
     * Notes that work has ended.
     *
     * @param execution identity of the dispatch
     * @param operation the operation that ran
     * @param ending how it ended
     * @param durationMicros how long it ran
     * @param below what its nested calls have met
     * @param nowMicros current time
     */
    void ended(
            long execution,
            OperationName operation,
            ExecutionResult ending,
            long durationMicros,
            NestedCallStats below,
            long nowMicros) {
        Charge charge = charges.remove(execution);
        Share own = shares.get(operation);
        if (charge == null) {
            return;
        }
        int running = own == null ? 0 : own.running;
        charge.share().running--;
        if (own != null && ending != ExecutionResult.CANCELLED) {
            own.limit.ended(running, durationMicros, below, place(charge.importance()), nowMicros);
        }
    }

    /**
     * Returns how many root requests may run.
     *
     * @param most the result before any has arrived, and at most
     * @return at least 1
     */
    int capacity(int most) {
        int sum = 0;
        for (Share share : shares.values()) {
            sum += share.limit.limit();
        }
        return sum == 0 ? most : Math.min(most, sum);
    }

    /**
     * Returns the place of an importance among those in use, or among those seen here while nobody has told which are.
     *
     * @param importance the importance
     * @return 0 for the least and 1 for the highest
     */
    double place(int importance) {
        List<Integer> known = importances.isEmpty() ? List.copyOf(seen) : importances;
        int index = known.indexOf(importance);
        return index < 0 || known.size() < 2
                ? (double) importance / (Rank.IMPORTANCE_LEVELS - 1)
                : (double) index / (known.size() - 1);
    }
}
