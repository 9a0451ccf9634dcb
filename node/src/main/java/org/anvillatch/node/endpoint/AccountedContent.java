package org.anvillatch.node.endpoint;

import java.nio.ByteBuffer;

import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.memory.Reservation;
import org.anvillatch.node.memory.Segments;

/**
 * Content of one response while it is being read, in the account of the process's memory.
 *
 * <p>Invariants: bytes are reserved before they are allocated; content of one segment is always accepted, since an answer that is
 * ready is not discarded, and more only if the account has room. Not thread safe, except for {@link #discard}.
 */
final class AccountedContent {
    /** Stands for a length that is not declared; small enough to be added to. */
    private static final long UNKNOWN_LENGTH = Long.MAX_VALUE / 2;

    private final MemoryBudget budget;
    private final int maxBytes;
    private final Reservation reservation;
    private final Segments segments = new Segments();

    /**
     * Creates empty content.
     *
     * @param budget account of the process's memory
     * @param maxBytes maximum length in bytes
     */
    AccountedContent(MemoryBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.reservation = new Reservation(budget, 0);
    }

    /**
     * Adds bytes.
     *
     * @param bytes the bytes, which are consumed unless they are refused
     * @return the reason why they are refused, or null
     */
    String add(ByteBuffer bytes) {
        int length = segments.length() + bytes.remaining();
        if (length > maxBytes) {
            return "the response is longer than " + maxBytes + " bytes";
        }
        int allocation = segments.allocationFor(bytes.remaining(), UNKNOWN_LENGTH);
        if (length <= Segments.SEGMENT_BYTES) {
            budget.reserveReady(allocation);
            reservation.add(allocation);
        } else if (!reservation.tryGrow(allocation, MemoryBudget.Holder.LARGE)) {
            return "no memory for a response of " + length + " bytes or more";
        }
        segments.add(bytes, UNKNOWN_LENGTH);
        return null;
    }

    /**
     * Returns the complete content; the memory of large content is released with it.
     *
     * @param contentType media type, may be empty
     * @return the body
     */
    CallBody toBody(String contentType) {
        boolean large = segments.length() > Segments.SEGMENT_BYTES;
        if (!large) {
            reservation.close();
        }
        return new CallBody(contentType, segments.toList(), large ? reservation : null);
    }

    /** Releases the memory of content that is discarded. */
    void discard() {
        reservation.close();
    }
}
