package org.anvillatch.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Bounded queue of work that waits for a slot, highest rank first and oldest first within a rank.
 *
 * <p>Invariant: the queue never holds more than its capacities, and what is evicted ranks no higher than anything of its
 * kind that stays. Not thread safe: owned by the host's decision loop.
 */
public final class AdmissionQueue {
    /**
     * Work with its time of arrival.
     *
     * @param work the request
     * @param arrivedMicros when it was offered
     * @param sequence order of arrival on this host
     */
    public record QueuedWork(Work work, long arrivedMicros, long sequence) {}

    private static final Comparator<QueuedWork> SERVICE_ORDER = Comparator.comparingInt(
                    (QueuedWork waiting) -> -waiting.work().rank())
            .thenComparingLong(QueuedWork::sequence);

    private final TreeSet<QueuedWork> waiting = new TreeSet<>(SERVICE_ORDER);
    private final TreeSet<QueuedWork> roots = new TreeSet<>(SERVICE_ORDER);
    private final Map<Long, QueuedWork> byExecution = new HashMap<>();
    private long nextSequence;

    /**
     * Adds work and evicts the lowest rank if too much waits then. Nested work is evicted only if the whole queue is too
     * long, since refusing it wastes what the request above it has done already.
     *
     * @param work the request
     * @param rootCapacity how much work may wait that is not nested
     * @param capacity how much work may wait in all
     * @param nowMicros current time
     * @return the evicted work, which may be the one just added
     */
    public Optional<Work> add(Work work, int rootCapacity, int capacity, long nowMicros) {
        QueuedWork entry = new QueuedWork(work, nowMicros, nextSequence++);
        waiting.add(entry);
        if (!work.nested()) {
            roots.add(entry);
        }
        byExecution.put(work.execution(), entry);
        if (!work.nested() && roots.size() > rootCapacity) {
            return Optional.of(evict(roots.last()));
        }
        return waiting.size() > capacity ? Optional.of(evict(waiting.last())) : Optional.empty();
    }

    private Work evict(QueuedWork entry) {
        remove(entry.work().execution());
        return entry.work();
    }

    /**
     * Takes the work to run next.
     *
     * @param mayRun what can run now
     * @return the highest rank of what can run, or empty if nothing that waits can
     */
    public Optional<QueuedWork> poll(Predicate<Work> mayRun) {
        for (QueuedWork entry : waiting) {
            if (mayRun.test(entry.work())) {
                remove(entry.work().execution());
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Removes one request.
     *
     * @param execution identity of the dispatch
     * @return true if it was waiting
     */
    public boolean remove(long execution) {
        QueuedWork entry = byExecution.remove(execution);
        if (entry == null) {
            return false;
        }
        roots.remove(entry);
        return waiting.remove(entry);
    }

    /**
     * Removes all work that shall wait no longer.
     *
     * @param hasWaitedEnough tells about each
     * @return the removed work
     */
    public List<Work> removeIf(Predicate<QueuedWork> hasWaitedEnough) {
        List<Work> removed =
                waiting.stream().filter(hasWaitedEnough).map(QueuedWork::work).toList();
        removed.forEach(work -> remove(work.execution()));
        return removed;
    }

    /**
     * Removes everything.
     *
     * @return the removed work
     */
    public List<Work> clear() {
        List<Work> all = waiting.stream().map(QueuedWork::work).toList();
        waiting.clear();
        roots.clear();
        byExecution.clear();
        return all;
    }

    /**
     * Returns how many requests wait that are not nested.
     *
     * @return at least 0
     */
    public int roots() {
        return roots.size();
    }

    /**
     * Returns how many requests wait.
     *
     * @return at least 0
     */
    public int size() {
        return waiting.size();
    }
}
