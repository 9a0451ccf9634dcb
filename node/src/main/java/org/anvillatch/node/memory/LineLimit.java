package org.anvillatch.node.memory;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits log lines that a hostile caller can cause to one in a period; the next one tells how many were left out. Thread
 * safe.
 */
public final class LineLimit {
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final AtomicLong nextNanos = new AtomicLong(System.nanoTime());
    private final AtomicLong omitted = new AtomicLong();

    /**
     * Asks whether a line may be written.
     *
     * @return number of lines left out since the last one, or -1 if this line must be left out
     */
    public long tryAcquire() {
        long nowNanos = System.nanoTime();
        long next = nextNanos.get();
        if (nowNanos - next < 0 || !nextNanos.compareAndSet(next, nowNanos + PERIOD_NANOS)) {
            omitted.incrementAndGet();
            return -1;
        }
        return omitted.getAndSet(0);
    }
}
