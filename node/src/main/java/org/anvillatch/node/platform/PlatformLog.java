package org.anvillatch.node.platform;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's append-only log. It may be restored from an older copy: then the latest records are lost, a new history
 * starts, and offsets are given out again. Listeners are called on any thread. Implementations are thread safe.
 */
public interface PlatformLog {
    /**
     * Appends a record, if the log is still in the given history.
     *
     * @param stream name of the stream
     * @param history history in which the record is meant
     * @param value content of the record
     * @param listener receives the result
     */
    void append(String stream, long history, byte[] value, Consumer<AppendResult> listener);

    /**
     * Reads records in offset order, starting at an offset.
     *
     * @param stream name of the stream
     * @param fromOffset offset of the first record to read
     * @param listener receives the result
     */
    void read(String stream, long fromOffset, Consumer<ReadResult> listener);

    /** Result of an append. Immutable and thread safe. */
    enum AppendResult {
        /** The record is in the stream. */
        APPENDED,
        /** The record is not in the stream and never will be. */
        NOT_APPENDED,
        /** No conclusive response arrived: the record may be in the stream, or may appear there later. */
        UNKNOWN
    }

    /**
     * A record of a stream.
     *
     * @param offset offset in the stream
     * @param value content of the record
     */
    record Entry(long offset, byte[] value) {}

    /**
     * Result of a read. Immutable and thread safe.
     *
     * @param available false if the log could not be read; the other components are then 0 or empty
     * @param history number of the log's history, which rises when the log is restored from an older copy
     * @param firstOffset offset of the oldest record that the log still holds
     * @param nextOffset offset that the next appended record gets
     * @param entries records in offset order
     */
    record ReadResult(boolean available, long history, long firstOffset, long nextOffset, List<Entry> entries) {
        /** Result of a read that failed. */
        public static final ReadResult UNAVAILABLE = new ReadResult(false, 0, 0, 0, List.of());
    }
}
