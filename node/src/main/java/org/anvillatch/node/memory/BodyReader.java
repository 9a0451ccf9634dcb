package org.anvillatch.node.memory;

import java.nio.ByteBuffer;
import java.util.List;

import org.eclipse.jetty.io.Content;

/**
 * Reads the body of one request into segments, within the account of the process.
 *
 * <p>Invariants: bytes are reserved before they are allocated; the listener is called exactly once, and owns the
 * reservation only if the body was read whole. Jetty's buffers are released at once, since a small piece would otherwise
 * hold a whole input buffer. Each method is called by one thread at a time.
 */
public final class BodyReader {
    /** Receives the result. */
    public interface Listener {
        /**
         * Called when the body was read whole.
         *
         * @param segments the bytes
         * @param reservation memory of the body
         */
        void completed(List<ByteBuffer> segments, Reservation reservation);

        /** Called when the body exceeds the maximum length. */
        void tooLarge();

        /** Called when the body does not fit into the account. */
        void outOfMemory();

        /**
         * Called when the body could not be read.
         *
         * @param failure the cause
         */
        void failed(Throwable failure);
    }

    private final Content.Source source;
    private final long declaredLength;
    private final long maxLength;
    private final Reservation reservation;
    private final IncompleteBodies incompleteBodies;
    private final IncompleteBodies.Entry entry;
    private final Listener listener;
    private final Segments segments = new Segments();
    private boolean reservedWhole;

    /**
     * Creates a reader.
     *
     * @param source the request
     * @param declaredLength length of the body, -1 if it is not known
     * @param maxLength maximum length of the body
     * @param incompleteBodies all bodies that are being read
     * @param close closes the connection of the request
     * @param listener receives the result
     */
    public BodyReader(
            Content.Source source,
            long declaredLength,
            long maxLength,
            IncompleteBodies incompleteBodies,
            Runnable close,
            Listener listener) {
        this.source = source;
        this.declaredLength = declaredLength;
        this.maxLength = maxLength;
        this.reservation = new Reservation(incompleteBodies.budget(), 0);
        this.incompleteBodies = incompleteBodies;
        this.entry = new IncompleteBodies.Entry(reservation, close);
        this.listener = listener;
    }

    /** Starts to read. */
    public void start() {
        if (declaredLength > maxLength) {
            end();
            listener.tooLarge();
            return;
        }
        if (declaredLength > Segments.SEGMENT_BYTES) {
            long bytes =
                    (declaredLength + Segments.SEGMENT_BYTES - 1) / Segments.SEGMENT_BYTES * Segments.SEGMENT_BYTES;
            if (!incompleteBodies.tryReserve(entry, bytes)) {
                end();
                listener.outOfMemory();
                return;
            }
            reservedWhole = true;
        }
        read();
    }

    private void read() {
        while (true) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                incompleteBodies.add(entry);
                source.demand(this::read);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                end();
                listener.failed(chunk.getFailure());
                return;
            }
            boolean last = chunk.isLast();
            boolean added;
            try {
                added = addWithinLimits(chunk.getByteBuffer(), last);
            } finally {
                chunk.release();
            }
            if (!added) {
                return;
            }
            if (last) {
                incompleteBodies.remove(entry);
                listener.completed(segments.toList(), reservation);
                return;
            }
        }
    }

    /** Adds received bytes; if they exceed a limit, ends the reading and returns false. */
    private boolean addWithinLimits(ByteBuffer bytes, boolean last) {
        int count = bytes.remaining();
        if (count == 0) {
            return true;
        }
        if ((long) segments.length() + count > maxLength) {
            end();
            listener.tooLarge();
            return false;
        }
        long expected = declaredLength >= 0 ? declaredLength - segments.length() : last ? count : Long.MAX_VALUE / 2;
        int allocation = reservedWhole ? 0 : segments.allocationFor(count, expected);
        // What has arrived whole at once is an ordinary request; the others may be stalled on purpose.
        boolean whole = segments.length() == 0 && count == expected && count <= Segments.SEGMENT_BYTES;
        boolean reserved = allocation == 0
                || (whole
                        ? reservation.tryGrow(allocation, MemoryBudget.Holder.SMALL)
                        : incompleteBodies.tryReserve(entry, allocation));
        if (!reserved) {
            end();
            listener.outOfMemory();
            return false;
        }
        segments.add(bytes, expected);
        entry.recordProgress();
        return true;
    }

    private void end() {
        incompleteBodies.remove(entry);
        reservation.close();
    }
}
