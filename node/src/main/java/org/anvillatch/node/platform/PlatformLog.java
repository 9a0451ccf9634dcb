package org.anvillatch.node.platform;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's append-only log. Results are handed over on any thread. Implementations are thread safe.
 */
public interface PlatformLog {
    /**
     * Appends a record.
     *
     * @param stream name of the stream
     * @param value bytes of the record
     * @param listener receives the result
     */
    void append(String stream, byte[] value, Consumer<AppendResult> listener);

    /**
     * Reads records in offset order.
     *
     * @param stream name of the stream
     * @param fromOffset first offset wanted
     * @param listener receives the result
     */
    void read(String stream, long fromOffset, Consumer<ReadResult> listener);

    /** What became of an append. Immutable and thread safe. */
    enum AppendResult {
        /** The record is in the stream. */
        APPENDED,
        /** The record is not in the stream and never will be. */
        NOT_APPENDED,
        /** The answer was lost: the record may be in the stream, now or later. */
        UNKNOWN
    }

    /**
     * One record.
     *
     * @param offset place in the stream
     * @param value bytes of the record
     */
    record Entry(long offset, byte[] value) {}

    /**
     * Result of a read. Immutable and thread safe.
     *
     * @param available false if the log did not answer; the other fields are then empty
     * @param firstOffset offset of the oldest record that is kept
     * @param nextOffset offset of the next append
     * @param entries records in offset order
     */
    record ReadResult(boolean available, long firstOffset, long nextOffset, List<Entry> entries) {
        /** The log did not answer. */
        public static final ReadResult UNAVAILABLE = new ReadResult(false, 0, 0, List.of());
    }
}
