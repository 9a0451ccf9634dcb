package org.anvillatch.node.memory;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes of a message body that is being received, in segments that are never copied again.
 *
 * <p>Invariant: the first segment grows to at most {@link #SEGMENT_BYTES}, and only then a second one follows. Not thread
 * safe.
 */
public final class Segments {
    /** Size of a segment in bytes: bodies of several segments are called large. */
    public static final int SEGMENT_BYTES = 64 * 1024;

    private static final int MIN_SEGMENT_BYTES = 1024;

    private final List<ByteBuffer> complete = new ArrayList<>(1);
    private byte[] current = new byte[0];
    private int filled;
    private int length;

    /**
     * Returns how many bytes must be reserved before some more are added.
     *
     * @param more number of bytes to add
     * @param expected number of bytes that are still expected in all, at least {@code more}
     * @return bytes that {@link #add} will allocate for the current and the next segments
     */
    public int allocationFor(int more, long expected) {
        int free = current.length - filled;
        if (more <= free) {
            return 0;
        }
        int grown = complete.isEmpty() ? capacityOfFirst(more, expected) - current.length : 0;
        int beyond = more - free - grown;
        return grown + (beyond <= 0 ? 0 : (beyond + SEGMENT_BYTES - 1) / SEGMENT_BYTES * SEGMENT_BYTES);
    }

    private int capacityOfFirst(int more, long expected) {
        if (current.length == SEGMENT_BYTES) {
            return SEGMENT_BYTES;
        }
        long needed = (long) filled + more;
        if (needed >= SEGMENT_BYTES) {
            return SEGMENT_BYTES;
        }
        // A body that has arrived whole is allocated exactly; others double, so that a stalled one holds little.
        long doubled = Math.max(needed, Math.max(MIN_SEGMENT_BYTES, 2L * current.length));
        return (int) Math.min(SEGMENT_BYTES, Math.min(doubled, filled + Math.max(more, expected)));
    }

    /**
     * Adds bytes.
     *
     * @param bytes the bytes, which are consumed
     * @param expected number of bytes that are still expected in all, including these
     */
    public void add(ByteBuffer bytes, long expected) {
        long remaining = expected;
        while (bytes.hasRemaining()) {
            if (filled == current.length) {
                extend(bytes.remaining(), remaining);
            }
            int count = Math.min(bytes.remaining(), current.length - filled);
            bytes.get(current, filled, count);
            filled += count;
            length += count;
            remaining -= count;
        }
    }

    private void extend(int more, long expected) {
        if (current.length == SEGMENT_BYTES) {
            complete.add(ByteBuffer.wrap(current));
            current = new byte[SEGMENT_BYTES];
            filled = 0;
        } else {
            byte[] larger = new byte[capacityOfFirst(more, expected)];
            System.arraycopy(current, 0, larger, 0, filled);
            current = larger;
        }
    }

    /**
     * Returns the number of bytes added.
     *
     * @return 0 or more
     */
    public int length() {
        return length;
    }

    /**
     * Returns all bytes.
     *
     * @return the segments, at least one
     */
    public List<ByteBuffer> toList() {
        List<ByteBuffer> all = new ArrayList<>(complete);
        all.add(ByteBuffer.wrap(current, 0, filled));
        return all;
    }
}
