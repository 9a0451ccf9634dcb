package org.anvillatch.node.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The account of all bytes that a process holds for requests, answers and frames.
 *
 * <p>Invariants: the sum of all open reservations exceeds the total only by small answers that are ready; large holders leave the reserve to small
 * ones; waiting answers are granted in order, and no other large holder is granted while one waits. Thread safe.
 */
public final class MemoryBudget {
    /** Estimated memory of a header field besides its text, in bytes: the field, two strings and their arrays. */
    public static final int FIELD_BYTES = 160;

    /** Estimated memory of a request besides its head and its body, in bytes. */
    public static final int REQUEST_BYTES = 2 * 1024;

    /**
     * Fraction of the maximum heap that may be reserved; the rest is for decision state, classes' data, the buffers of
     * the sockets and the space that the collector needs.
     */
    private static final double TOTAL_FRACTION = 0.58;

    /** Fraction of the maximum heap that only small holders may use. */
    private static final double RESERVE_FRACTION = 0.125;

    /** Minimum of the maximum heap with which a node starts, in bytes. */
    private static final long MIN_HEAP_BYTES = 32L * 1024 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(MemoryBudget.class);

    /** Who reserves. */
    public enum Holder {
        /** A head, or a message that fits into one segment: may use the whole account. */
        SMALL,
        /** A message of several segments, or one that has not arrived whole: leaves the reserve to small holders. */
        LARGE
    }

    /** A large holder that waits for its reservation. */
    public final class Waiter {
        private final long bytes;
        private final Runnable granted;

        private Waiter(long bytes, Runnable granted) {
            this.bytes = bytes;
            this.granted = granted;
        }

        /**
         * Stops waiting.
         *
         * @return false if the bytes were granted before; the caller must then release them
         */
        public boolean cancel() {
            List<Waiter> next;
            synchronized (MemoryBudget.this) {
                if (!waiters.remove(this)) {
                    return false;
                }
                next = grantWaiters();
            }
            next.forEach(waiter -> waiter.granted.run());
            return true;
        }
    }

    private final long totalBytes;
    private final long largeBytes;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long reservedBytes;
    private volatile long peakBytes;
    private volatile long refusals;
    private volatile long waits;
    private volatile long leakedBytes;

    /**
     * Creates an account.
     *
     * @param totalBytes maximum sum of all reservations
     * @param reserveBytes part of it that only small holders may use
     */
    public MemoryBudget(long totalBytes, long reserveBytes) {
        this.totalBytes = totalBytes;
        this.largeBytes = totalBytes - reserveBytes;
    }

    /**
     * Creates the account of a process from its maximum heap.
     *
     * @return the account
     */
    public static MemoryBudget ofMaxHeap() {
        long maxHeapBytes = Runtime.getRuntime().maxMemory();
        return new MemoryBudget((long) (maxHeapBytes * TOTAL_FRACTION), (long) (maxHeapBytes * RESERVE_FRACTION));
    }

    /**
     * Checks at the start that the heap suffices for a node, and logs the size of the account.
     *
     * @return the problem, or null if there is none
     */
    public String findProblem() {
        long maxHeapBytes = Runtime.getRuntime().maxMemory();
        LOG.info("memory totalBytes={} largeBytes={} maxHeapBytes={}", totalBytes, largeBytes, maxHeapBytes);
        return maxHeapBytes < MIN_HEAP_BYTES
                ? "the maximum heap of " + maxHeapBytes + " bytes is below " + MIN_HEAP_BYTES
                : null;
    }

    /**
     * Registers the metrics of the account.
     *
     * @param metrics the registry
     */
    public void register(MetricRegistry metrics) {
        metrics.register("memory.total_bytes", (Gauge<Long>) () -> totalBytes);
        metrics.register("memory.reserved_bytes", (Gauge<Long>) this::reservedBytes);
        metrics.register("memory.peak_bytes", (Gauge<Long>) () -> peakBytes);
        metrics.register("memory.heap_used_bytes", (Gauge<Long>)
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        metrics.register("memory.refusals", (Gauge<Long>) () -> refusals);
        metrics.register("memory.waits", (Gauge<Long>) () -> waits);
        metrics.register("memory.leaked_bytes", (Gauge<Long>) () -> leakedBytes);
    }

    /**
     * Reserves bytes if they fit.
     *
     * @param bytes number of bytes
     * @param holder who reserves
     * @return false if they do not fit
     */
    public synchronized boolean tryReserve(long bytes, Holder holder) {
        if (!fits(bytes, holder) || holder == Holder.LARGE && !waiters.isEmpty()) {
            refusals++;
            return false;
        }
        add(bytes);
        return true;
    }

    private boolean fits(long bytes, Holder holder) {
        return bytes <= (holder == Holder.SMALL ? totalBytes : largeBytes) - reservedBytes;
    }

    private void add(long bytes) {
        reservedBytes += bytes;
        peakBytes = Math.max(peakBytes, reservedBytes);
    }

    /**
     * Reserves bytes for a small answer that is ready. They may exceed the total, since an answer is never discarded:
     * the number of requests that were accepted before bounds the excess.
     *
     * @param bytes number of bytes
     */
    public synchronized void reserveReady(long bytes) {
        add(bytes);
    }

    /**
     * Reserves bytes for a large answer, now or when other holders have released enough.
     *
     * @param bytes number of bytes
     * @param granted called once when the bytes are reserved later, on the thread that released others
     * @return null if the bytes are reserved now
     */
    public synchronized Waiter reserveOrWait(long bytes, Runnable granted) {
        if (waiters.isEmpty() && fits(bytes, Holder.LARGE)) {
            add(bytes);
            return null;
        }
        waits++;
        Waiter waiter = new Waiter(bytes, granted);
        waiters.add(waiter);
        return waiter;
    }

    /**
     * Returns whether a large holder of this size could ever be granted.
     *
     * @param bytes number of bytes
     * @return false if it exceeds what large holders may use
     */
    public boolean canEverFit(long bytes) {
        return bytes <= largeBytes;
    }

    /**
     * Releases reserved bytes.
     *
     * @param bytes number of bytes
     */
    public void release(long bytes) {
        List<Waiter> next;
        synchronized (this) {
            reservedBytes -= bytes;
            if (waiters.isEmpty()) {
                return;
            }
            next = grantWaiters();
        }
        next.forEach(waiter -> waiter.granted.run());
    }

    private List<Waiter> grantWaiters() {
        List<Waiter> granted = new ArrayList<>();
        while (!waiters.isEmpty() && fits(waiters.peek().bytes, Holder.LARGE)) {
            Waiter waiter = waiters.remove();
            add(waiter.bytes);
            granted.add(waiter);
        }
        return granted;
    }

    /**
     * Releases the bytes of a holder that became unreachable without a release.
     *
     * @param bytes number of bytes
     */
    void releaseLeaked(long bytes) {
        synchronized (this) {
            leakedBytes += bytes;
        }
        LOG.debug("{} bytes of an unreachable body released", bytes);
        release(bytes);
    }

    /**
     * Returns whether answers wait for memory.
     *
     * @return true if at least one waits
     */
    public synchronized boolean isExhausted() {
        return !waiters.isEmpty();
    }

    /**
     * Returns whether a request of ordinary size would be accepted now.
     *
     * @return false if nearly all memory is reserved
     */
    public synchronized boolean hasRoomForRequests() {
        return fits(64 * 1024, Holder.SMALL);
    }

    /**
     * Returns the sum of all reservations.
     *
     * @return number of bytes
     */
    public synchronized long reservedBytes() {
        return reservedBytes;
    }
}
