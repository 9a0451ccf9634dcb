package org.anvillatch.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Bounded priority queue of work that waits for a slot: highest rank first, first in first out within a rank.
 *
 * <p>Invariants: the queue never grows beyond its capacities; root requests that are evicted because there are too many
 * of them rank no higher than any queued root request; work that is evicted because the whole queue is too long ranks
 * no higher than any queued work. Not thread safe: owned by the host's decision loop.
 */
public final class AdmissionQueue {
    /**
     * Queued work with its time of arrival.
     *
     * @param work the request
     * @param arrivedMicros time at which it was offered, in microseconds
     * @param sequence number in the order of arrival at this host
     */
    public record QueuedWork(Work work, long arrivedMicros, long sequence) {}

    private static final Comparator<QueuedWork> SERVICE_ORDER =
            Comparator.comparingInt((QueuedWork entry) -> -entry.work().rank()).thenComparingLong(QueuedWork::sequence);

    private final TreeSet<QueuedWork> queued = new TreeSet<>(SERVICE_ORDER);
    private final TreeSet<QueuedWork> queuedRoots = new TreeSet<>(SERVICE_ORDER);
    private final Map<Long, QueuedWork> byExecution = new HashMap<>();
    private long nextSequence;

    /**
     * Adds work and evicts the work of lowest rank if a capacity is exceeded. Nested work is evicted only if the whole
     * queue is too long, because refusing it wastes the work that its parent request has already done.
     *
     * @param work the request
     * @param rootCapacity maximum number of queued root requests
     * @param capacity maximum number of queued requests, root and nested
     * @param nowMicros current time in microseconds
     * @return the evicted work, which may be the one just added
     */
    public Optional<Work> add(Work work, int rootCapacity, int capacity, long nowMicros) {
        QueuedWork entry = new QueuedWork(work, nowMicros, nextSequence++);
        queued.add(entry);
        if (!work.nested()) {
            queuedRoots.add(entry);
        }
        byExecution.put(work.execution(), entry);
        if (!work.nested() && queuedRoots.size() > rootCapacity) {
            return Optional.of(evict(queuedRoots.last()));
        }
        return queued.size() > capacity ? Optional.of(evict(queued.last())) : Optional.empty();
    }

    private Work evict(QueuedWork entry) {
        remove(entry.work().execution());
        return entry.work();
    }

    /**
     * Removes and returns the work to run next.
     *
     * @param canRun returns whether work can run now
     * @return the first work in queue order that can run, or empty if none can
     */
    public Optional<QueuedWork> poll(Predicate<Work> canRun) {
        for (QueuedWork entry : queued) {
            if (canRun.test(entry.work())) {
                remove(entry.work().execution());
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Removes one request from the queue.
     *
     * @param execution identity of the dispatch
     * @return true if it was queued
     */
    public boolean remove(long execution) {
        QueuedWork entry = byExecution.remove(execution);
        if (entry == null) {
            return false;
        }
        queuedRoots.remove(entry);
        return queued.remove(entry);
    }

    /**
     * Removes all work that matches a condition.
     *
     * @param condition returns whether to remove an entry
     * @return the removed work
     */
    public List<Work> removeIf(Predicate<QueuedWork> condition) {
        List<Work> removed =
                queued.stream().filter(condition).map(QueuedWork::work).toList();
        removed.forEach(work -> remove(work.execution()));
        return removed;
    }

    /**
     * Removes all work.
     *
     * @return the removed work
     */
    public List<Work> clear() {
        List<Work> all = queued.stream().map(QueuedWork::work).toList();
        queued.clear();
        queuedRoots.clear();
        byExecution.clear();
        return all;
    }

    /**
     * Returns the number of queued root requests.
     *
     * @return at least 0
     */
    public int rootCount() {
        return queuedRoots.size();
    }

    /**
     * Returns the number of queued requests, root and nested.
     *
     * @return at least 0
     */
    public int size() {
        return queued.size();
    }
}
