package org.anvillatch.node.memory;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The request bodies that are being read. If memory is short, those that have stalled are given up in favour of others:
 * their requests have not run.
 *
 * <p>Invariant: a body that has stalled for less than {@link #MIN_STALL_MILLIS} is never given up. Thread safe.
 */
public final class IncompleteBodies {
    /** Minimum time without received bytes after which a body may be given up, in milliseconds. */
    public static final long MIN_STALL_MILLIS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(IncompleteBodies.class);

    /** Maximum number of bodies that are given up for one request, which bounds the work for it. */
    private static final int MAX_EVICTIONS = 16;

    private final MemoryBudget budget;
    private final Set<Entry> entries = ConcurrentHashMap.newKeySet();

    /** A body that is being read. Thread safe. */
    public static final class Entry {
        private final Reservation reservation;
        private final Runnable close;
        private volatile long lastProgressNanos = System.nanoTime();

        Entry(Reservation reservation, Runnable close) {
            this.reservation = reservation;
            this.close = close;
        }

        void recordProgress() {
            lastProgressNanos = System.nanoTime();
        }

        private long stalledNanos() {
            return System.nanoTime() - lastProgressNanos;
        }
    }

    /**
     * Creates the set.
     *
     * @param budget account of the bodies
     */
    public IncompleteBodies(MemoryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns the account of the bodies.
     *
     * @return the account
     */
    public MemoryBudget budget() {
        return budget;
    }

    void add(Entry entry) {
        entries.add(entry);
    }

    void remove(Entry entry) {
        entries.remove(entry);
    }

    /**
     * Returns the number of bodies that are being read.
     *
     * @return 0 or more
     */
    public int size() {
        return entries.size();
    }

    /** Reserves memory for a body, if necessary at the expense of stalled ones. */
    boolean tryReserve(Entry entry, long bytes) {
        for (int evictions = 0; evictions <= MAX_EVICTIONS; evictions++) {
            if (entry.reservation.tryGrow(bytes, MemoryBudget.Holder.LARGE)) {
                return true;
            }
            if (evictions == MAX_EVICTIONS || !evictStalled(entry)) {
                return false;
            }
        }
        return false;
    }

    private boolean evictStalled(Entry beneficiary) {
        Entry stalest = null;
        long stalestNanos = TimeUnit.MILLISECONDS.toNanos(MIN_STALL_MILLIS);
        for (Entry entry : entries) {
            long stalledNanos = entry.stalledNanos();
            if (entry != beneficiary && stalledNanos >= stalestNanos && entry.reservation.bytes() > 0) {
                stalest = entry;
                stalestNanos = stalledNanos;
            }
        }
        if (stalest == null || !entries.remove(stalest)) {
            return false;
        }
        LOG.info(
                "body given up for lack of memory heldBytes={} stalledMs={} reservedBytes={}",
                stalest.reservation.bytes(),
                TimeUnit.NANOSECONDS.toMillis(stalestNanos),
                budget.reservedBytes());
        stalest.reservation.close();
        stalest.close.run();
        return true;
    }
}
