package org.anvillatch.node.memory;

import java.lang.ref.Cleaner;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that one holder has reserved in a {@link MemoryBudget}.
 *
 * <p>Invariant: the bytes are released exactly once, however often it is closed; bytes that are added after the close
 * are released at once. Thread safe.
 */
public final class Reservation implements AutoCloseable {
    private static final Cleaner CLEANER = Cleaner.create();
    private static final long CLOSED = -1;

    private final MemoryBudget budget;
    private final AtomicLong bytes;

    /**
     * Takes over bytes that are reserved already.
     *
     * @param budget the account
     * @param bytes number of reserved bytes
     */
    public Reservation(MemoryBudget budget, long bytes) {
        this.budget = budget;
        this.bytes = new AtomicLong(bytes);
    }

    /**
     * Reserves more bytes if they fit.
     *
     * @param more number of bytes
     * @param holder who reserves
     * @return false if they do not fit
     */
    public boolean tryGrow(long more, MemoryBudget.Holder holder) {
        if (!budget.tryReserve(more, holder)) {
            return false;
        }
        add(more);
        return true;
    }

    /**
     * Takes over further bytes that are reserved already.
     *
     * @param more number of bytes
     */
    public void add(long more) {
        long previous = bytes.getAndUpdate(current -> current == CLOSED ? CLOSED : current + more);
        if (previous == CLOSED) {
            budget.release(more);
        }
    }

    /**
     * Returns the number of reserved bytes.
     *
     * @return 0 after the close
     */
    public long bytes() {
        return Math.max(0, bytes.get());
    }

    /**
     * Releases the bytes beyond a number; more may be reserved afterwards.
     *
     * @param remaining number of bytes that stay reserved, if there are as many
     */
    public void reduceTo(long remaining) {
        long held = bytes.getAndUpdate(current -> Math.min(current, remaining));
        if (held > remaining) {
            budget.release(held - remaining);
        }
    }

    /**
     * Releases the bytes when an object has become unreachable, if nobody did before.
     *
     * @param holder the object
     */
    public void closeWhenUnreachable(Object holder) {
        CLEANER.register(holder, () -> {
            long held = bytes.getAndSet(CLOSED);
            if (held > 0) {
                budget.releaseLeaked(held);
            }
        });
    }

    @Override
    public void close() {
        long held = bytes.getAndSet(CLOSED);
        if (held > 0) {
            budget.release(held);
        }
    }
}
