package org.anvillatch.decision.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * Reduces the configuration stream in offset order; every host that reads the same records holds the same
 * configuration.
 *
 * <p>Records are reduced without gaps. A host that finds a gap, because retention has dropped records that it never
 * read, keeps what it has and waits for a snapshot, on the stream or from another host, that covers the gap.
 *
 * <p>Invariants: the version never falls; a record takes effect only if it was based on the version in force; a repeated
 * append of one change takes effect once. Not thread safe: owned by the host's decision loop.
 */
public final class ConfigurationReducer {
    /** Number of verdicts that are remembered. */
    public static final int HISTORY = 200;

    private final Deque<ChangeVerdict> history = new ArrayDeque<>();
    private final TreeMap<Long, ConfigurationRecord> pending = new TreeMap<>();
    private Configuration current = Configuration.EMPTY;
    private long coveredOffset = -1;
    private boolean known;

    /**
     * Takes the record at an offset.
     *
     * @param offset offset in the stream
     * @param entry the record
     */
    public void take(long offset, ConfigurationRecord entry) {
        if (offset <= coveredOffset) {
            return;
        }
        pending.put(offset, entry);
        reducePending();
    }

    private void reducePending() {
        while (!pending.isEmpty()) {
            long offset = pending.firstKey();
            if (offset == coveredOffset + 1) {
                reduce(offset, pending.remove(offset));
            } else if (!adoptPendingSnapshot(offset)) {
                return;
            }
        }
    }

    private void reduce(long offset, ConfigurationRecord entry) {
        coveredOffset = offset;
        known = true;
        if (entry.snapshot() == null) {
            remember(decide(offset, entry));
        }
    }

    private boolean adoptPendingSnapshot(long firstPending) {
        for (ConfigurationRecord entry : pending.values()) {
            ConfigurationSnapshot snapshot = entry.snapshot();
            if (snapshot != null && snapshot.coveredOffset() >= firstPending - 1) {
                take(snapshot);
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

    private void remember(ChangeVerdict verdict) {
        if (verdictOf(verdict.change()) != null) {
            return;
        }
        history.addLast(verdict);
        while (history.size() > HISTORY) {
            history.removeFirst();
        }
    }

    /**
     * Adopts what another host or a snapshot holds, unless at least as much of the stream is reduced here.
     *
     * @param snapshot the configuration and how much of the stream it covers
     * @return true if it was adopted
     */
    public boolean adopt(ConfigurationSnapshot snapshot) {
        boolean newer = snapshot.coveredOffset() > coveredOffset || !known;
        if (newer) {
            take(snapshot);
            reducePending();
        }
        return newer;
    }

    private void take(ConfigurationSnapshot snapshot) {
        known = true;
        coveredOffset = Math.max(coveredOffset, snapshot.coveredOffset());
        if (snapshot.configuration().version() > current.version()) {
            current = snapshot.configuration();
        }
        snapshot.history().forEach(this::remember);
        pending.headMap(coveredOffset, true).clear();
    }

    /**
     * Returns what this host holds, for other hosts and for the stream.
     *
     * @return the configuration in force, what it covers and the latest verdicts
     */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(current, coveredOffset, history());
    }

    /** Notes that the stream was read from its very beginning and holds nothing. */
    public void markStreamEmpty() {
        known = true;
    }

    /**
     * Tells whether the configuration in force is established.
     *
     * @return false until the stream's beginning, a snapshot or another host has told
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the configuration in force.
     *
     * @return never null
     */
    public Configuration current() {
        return current;
    }

    /**
     * Returns how much of the stream is reduced; records behind a gap do not count.
     *
     * @return offset of the last reduced record, -1 if there is none
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
     * Finds what became of a change.
     *
     * @param change identity of the change
     * @return the verdict, or null if it is not known
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
