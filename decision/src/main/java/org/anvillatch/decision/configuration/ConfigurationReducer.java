package org.anvillatch.decision.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * Computes the configuration by applying the records of the configuration stream in offset order. All hosts that have
 * read the same records have the same configuration.
 *
 * <p>Records are applied without gaps. A gap occurs if retention has dropped records that the host never read. The host
 * then keeps its configuration until a snapshot that covers the gap arrives, on the stream or from another host.
 *
 * <p>Invariants: the version never decreases; a record takes effect only if it is based on the current version; a
 * repeated append of one change takes effect once. Not thread safe: owned by the host's decision loop.
 */
public final class ConfigurationReducer {
    /** Maximum number of verdicts in the history. */
    public static final int MAX_VERDICTS = 200;

    private final Deque<ChangeVerdict> history = new ArrayDeque<>();
    private final TreeMap<Long, ConfigurationRecord> pending = new TreeMap<>();
    private Configuration current = Configuration.EMPTY;
    private long coveredOffset = -1;
    private boolean known;

    /**
     * Adds the record at an offset and applies all records up to the next gap.
     *
     * @param offset offset in the stream
     * @param entry the record
     */
    public void addRecord(long offset, ConfigurationRecord entry) {
        if (offset <= coveredOffset) {
            return;
        }
        pending.put(offset, entry);
        applyPending();
    }

    private void applyPending() {
        while (!pending.isEmpty()) {
            long offset = pending.firstKey();
            if (offset == coveredOffset + 1) {
                apply(offset, pending.remove(offset));
            } else if (!adoptPendingSnapshot(offset)) {
                return;
            }
        }
    }

    private void apply(long offset, ConfigurationRecord entry) {
        coveredOffset = offset;
        known = true;
        if (entry.snapshot() == null) {
            addToHistory(decide(offset, entry));
        }
    }

    private boolean adoptPendingSnapshot(long firstPending) {
        for (ConfigurationRecord entry : pending.values()) {
            ConfigurationSnapshot snapshot = entry.snapshot();
            if (snapshot != null && snapshot.coveredOffset() >= firstPending - 1) {
                applySnapshot(snapshot);
                return true;
            }
        }
        return false;
    }

    private ChangeVerdict decide(long offset, ConfigurationRecord entry) {
        ChangeVerdict first = verdictOf(entry.change());
        if (first != null) {
            return first;
        }
        if (entry.basedOn() != current.version()) {
            return verdict(offset, entry, ChangeVerdict.Decision.CONFLICT, List.of(), current.version());
        }
        List<Finding> findings = new ArrayList<>();
        Configuration next = current.apply(offset, entry.changes(), findings);
        if (!findings.isEmpty()) {
            return verdict(offset, entry, ChangeVerdict.Decision.INVALID, findings, current.version());
        }
        current = next;
        return verdict(offset, entry, ChangeVerdict.Decision.ACCEPTED, List.of(), offset);
    }

    private static ChangeVerdict verdict(
            long offset,
            ConfigurationRecord entry,
            ChangeVerdict.Decision decision,
            List<Finding> findings,
            long version) {
        List<String> statements =
                entry.changes().stream().map(ConfigurationChange::text).toList();
        return new ChangeVerdict(
                entry.change(), offset, entry.author(), entry.writtenMillis(), statements, decision, findings, version);
    }

    private void addToHistory(ChangeVerdict verdict) {
        if (verdictOf(verdict.change()) != null) {
            return;
        }
        history.addLast(verdict);
        while (history.size() > MAX_VERDICTS) {
            history.removeFirst();
        }
    }

    /**
     * Adopts a snapshot that covers more of the stream than was applied here, or any if no configuration is known.
     *
     * @param snapshot the configuration and how much of the stream it covers
     * @return true if the snapshot was adopted
     */
    public boolean adopt(ConfigurationSnapshot snapshot) {
        boolean newer = snapshot.coveredOffset() > coveredOffset || !known;
        if (newer) {
            applySnapshot(snapshot);
            applyPending();
        }
        return newer;
    }

    private void applySnapshot(ConfigurationSnapshot snapshot) {
        known = true;
        coveredOffset = Math.max(coveredOffset, snapshot.coveredOffset());
        if (snapshot.configuration().version() > current.version()) {
            current = snapshot.configuration();
        }
        snapshot.history().forEach(this::addToHistory);
        pending.headMap(coveredOffset, true).clear();
    }

    /**
     * Returns a snapshot of this host's state, for other hosts and for the stream.
     *
     * @return the current configuration, how much of the stream it covers and the latest verdicts
     */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(current, coveredOffset, history());
    }

    /** Records that the stream was read from its beginning and is empty. */
    public void markStreamEmpty() {
        known = true;
    }

    /**
     * Returns whether the current configuration is known.
     *
     * @return false until it was read from the beginning of the stream, from a snapshot or from another host
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the current configuration.
     *
     * @return never null
     */
    public Configuration current() {
        return current;
    }

    /**
     * Returns how much of the stream has been applied; records after a gap do not count.
     *
     * @return offset of the last applied record, -1 if there is none
     */
    public long coveredOffset() {
        return coveredOffset;
    }

    /**
     * Returns the offset to read next.
     *
     * @return 0 or more
     */
    public long nextOffset() {
        return pending.isEmpty() ? coveredOffset + 1 : pending.lastKey() + 1;
    }

    /**
     * Finds the verdict on a change.
     *
     * @param change identity of the change
     * @return the verdict, or null if it is not in the history
     */
    public ChangeVerdict verdictOf(String change) {
        for (ChangeVerdict verdict : history) {
            if (verdict.change().equals(change)) {
                return verdict;
            }
        }
        return null;
    }

    /**
     * Returns the latest verdicts.
     *
     * @return oldest first
     */
    public List<ChangeVerdict> history() {
        return List.copyOf(history);
    }
}
