package org.anvillatch.decision.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

import org.anvillatch.decision.model.LogPosition;

/**
 * Computes the configuration by applying the records of the configuration stream in offset order. All hosts that have
 * read the same records have the same configuration.
 *
 * <p>Records are applied without gaps. A gap occurs if retention has dropped records that the host never read. The host
 * then keeps its configuration until a snapshot that covers the gap arrives, on the stream or from another host.
 *
 * <p>If the log is restored from an older copy, a new history starts: the stream is read from its beginning again, and
 * records that were applied before have no effect. The configuration in force stays. The history is open for changes
 * when a host has written the configuration to it: the first snapshot of a history becomes the configuration of all
 * hosts, under a new version.
 *
 * <p>Invariants: the version never decreases; a record takes effect only if it is based on the current version, and
 * only in an open history; a repeated append of one change takes effect once. Not thread safe: owned by the host's
 * decision loop.
 */
public final class ConfigurationReducer {
    /** Maximum number of verdicts in the history. */
    public static final int MAX_VERDICTS = 200;

    private final Deque<ChangeVerdict> verdicts = new ArrayDeque<>();
    private final TreeMap<Long, ConfigurationRecord> pending = new TreeMap<>();
    private Configuration current = Configuration.EMPTY;
    private long coveredPosition = LogPosition.beforeFirst(0);
    private long openHistory;
    private boolean known;

    /**
     * Adds the record at a position and applies all records up to the next gap.
     *
     * @param position {@link LogPosition} in the stream
     * @param entry the record
     */
    public void addRecord(long position, ConfigurationRecord entry) {
        if (position <= coveredPosition) {
            return;
        }
        startHistory(LogPosition.historyOf(position));
        pending.put(position, entry);
        applyPending();
    }

    /**
     * Starts a history of the log, unless this one or a later one has started.
     *
     * @param history number of the history
     */
    public void startHistory(long history) {
        long start = LogPosition.beforeFirst(history);
        if (start > coveredPosition) {
            coveredPosition = start;
            pending.headMap(start, true).clear();
        }
    }

    private void applyPending() {
        while (!pending.isEmpty()) {
            long position = pending.firstKey();
            if (position == coveredPosition + 1) {
                apply(position, pending.remove(position));
            } else if (!adoptPendingSnapshot(position)) {
                return;
            }
        }
    }

    private void apply(long position, ConfigurationRecord entry) {
        coveredPosition = position;
        long version = LogPosition.of(entry.history(), LogPosition.offsetOf(position));
        if (entry.snapshot() != null) {
            openHistory(version, entry);
        } else if (version > current.version()) {
            addToHistory(decide(version, entry));
        }
        known |= isHistoryOpen();
    }

    /** Adopts the first snapshot of a history in place of what was in force, so that all hosts have the same. */
    private void openHistory(long version, ConfigurationRecord entry) {
        if (entry.history() <= openHistory) {
            return;
        }
        openHistory = entry.history();
        markLost(entry.snapshot().configuration().version());
        current = entry.snapshot().configuration().withVersion(version);
        entry.snapshot().history().forEach(this::addToHistory);
    }

    private void markLost(long carriedVersion) {
        List<ChangeVerdict> earlier = verdicts();
        verdicts.clear();
        for (ChangeVerdict verdict : earlier) {
            boolean lost = verdict.decision() == ChangeVerdict.Decision.ACCEPTED && verdict.version() > carriedVersion;
            verdicts.addLast(lost ? verdict.withDecision(ChangeVerdict.Decision.LOST) : verdict);
        }
    }

    private boolean adoptPendingSnapshot(long firstPending) {
        for (ConfigurationRecord entry : pending.values()) {
            ConfigurationSnapshot snapshot = entry.snapshot();
            if (snapshot == null) {
                continue;
            }
            // The records before a restore keep their offsets, so a snapshot of an earlier history covers them too.
            long covered = LogPosition.offsetOf(snapshot.coveredPosition());
            if (covered >= LogPosition.offsetOf(firstPending) - 1) {
                applySnapshot(snapshot, LogPosition.of(history(), covered));
                known |= isHistoryOpen();
                return true;
            }
        }
        return false;
    }

    private ChangeVerdict decide(long version, ConfigurationRecord entry) {
        ChangeVerdict first = verdictOf(entry.change());
        if (first != null) {
            return first;
        }
        if (entry.basedOn() != current.version() || entry.history() > openHistory) {
            return verdict(version, entry, ChangeVerdict.Decision.CONFLICT, List.of(), current.version());
        }
        List<Finding> findings = new ArrayList<>();
        Configuration next = current.apply(version, entry.changes(), findings);
        if (!findings.isEmpty()) {
            return verdict(version, entry, ChangeVerdict.Decision.INVALID, findings, current.version());
        }
        current = next;
        return verdict(version, entry, ChangeVerdict.Decision.ACCEPTED, List.of(), version);
    }

    private static ChangeVerdict verdict(
            long position,
            ConfigurationRecord entry,
            ChangeVerdict.Decision decision,
            List<Finding> findings,
            long version) {
        List<String> statements =
                entry.changes().stream().map(ConfigurationChange::text).toList();
        return new ChangeVerdict(
                entry.change(),
                position,
                entry.author(),
                entry.writtenMillis(),
                statements,
                decision,
                findings,
                version);
    }

    private void addToHistory(ChangeVerdict verdict) {
        if (verdictOf(verdict.change()) != null) {
            return;
        }
        verdicts.addLast(verdict);
        while (verdicts.size() > MAX_VERDICTS) {
            verdicts.removeFirst();
        }
    }

    /**
     * Adopts a snapshot that covers more of the stream than was applied here or has a later version, or any if no
     * configuration is known. A later version that covers less exists only until a history is open: it was lost in the
     * restore.
     *
     * @param snapshot the configuration and how much of the stream it covers
     * @return true if the snapshot was adopted
     */
    public boolean adopt(ConfigurationSnapshot snapshot) {
        boolean newer = snapshot.coveredPosition() > coveredPosition
                || snapshot.configuration().version() > current.version()
                || !known;
        if (newer) {
            applySnapshot(snapshot, snapshot.coveredPosition());
            known = true;
            applyPending();
        }
        return newer;
    }

    private void applySnapshot(ConfigurationSnapshot snapshot, long covered) {
        coveredPosition = Math.max(coveredPosition, covered);
        openHistory = Math.max(openHistory, snapshot.openHistory());
        if (snapshot.configuration().version() > current.version()) {
            current = snapshot.configuration();
        }
        snapshot.history().forEach(this::addToHistory);
        pending.headMap(coveredPosition, true).clear();
    }

    /**
     * Returns a snapshot of this host's state, for other hosts and for the stream.
     *
     * @return the current configuration, how much of the stream it covers and the latest verdicts
     */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(current, coveredPosition, verdicts(), openHistory);
    }

    /** Records that the stream was read from its beginning and is empty. */
    public void markStreamEmpty() {
        known |= isHistoryOpen();
    }

    /**
     * Returns the history of the log that was read last.
     *
     * @return number of the history
     */
    public long history() {
        return LogPosition.historyOf(coveredPosition + 1);
    }

    /**
     * Returns whether changes are accepted: whether the configuration was written to the log's current history.
     *
     * @return false between a restore of the log and the first snapshot after it
     */
    public boolean isHistoryOpen() {
        return openHistory >= history();
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
     * @return {@link LogPosition} of the last applied record, the one before the first if there is none
     */
    public long coveredPosition() {
        return coveredPosition;
    }

    /**
     * Returns the offset to read next in the current history.
     *
     * @return 0 or more
     */
    public long nextOffset() {
        return LogPosition.offsetOf(pending.isEmpty() ? coveredPosition + 1 : pending.lastKey() + 1);
    }

    /**
     * Finds the verdict on a change.
     *
     * @param change identity of the change
     * @return the verdict, or null if it is not in the history
     */
    public ChangeVerdict verdictOf(String change) {
        for (ChangeVerdict verdict : verdicts) {
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
    public List<ChangeVerdict> verdicts() {
        return List.copyOf(verdicts);
    }
}
