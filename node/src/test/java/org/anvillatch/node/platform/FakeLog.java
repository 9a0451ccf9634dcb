package org.anvillatch.node.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A log of one stream in memory, which can lose appends and go back to an older copy. Thread safe. */
public final class FakeLog implements PlatformLog {
    private final List<Entry> entries = new ArrayList<>();
    private int appendsToLose;
    private long history;

    /** Loses the next append, whose result is then reported as unknown. */
    public synchronized void loseNextAppend() {
        appendsToLose++;
    }

    /**
     * Goes back to a copy that holds only the first records.
     *
     * @param keptRecords number of records in the copy
     */
    public synchronized void restore(int keptRecords) {
        history++;
        entries.subList(keptRecords, entries.size()).clear();
    }

    /**
     * Returns the records.
     *
     * @return a copy of the list, in offset order
     */
    public synchronized List<Entry> entries() {
        return List.copyOf(entries);
    }

    @Override
    public synchronized void append(
            String stream, long expectedHistory, byte[] value, Consumer<AppendResult> listener) {
        if (expectedHistory != history) {
            listener.accept(AppendResult.NOT_APPENDED);
            return;
        }
        if (appendsToLose > 0) {
            appendsToLose--;
            listener.accept(AppendResult.UNKNOWN);
            return;
        }
        entries.add(new Entry(entries.size(), value));
        listener.accept(AppendResult.APPENDED);
    }

    @Override
    public synchronized void read(String stream, long fromOffset, Consumer<ReadResult> listener) {
        List<Entry> requested =
                entries.stream().filter(entry -> entry.offset() >= fromOffset).toList();
        listener.accept(new ReadResult(true, history, 0, entries.size(), requested));
    }
}
