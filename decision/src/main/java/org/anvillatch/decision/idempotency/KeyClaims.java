package org.anvillatch.decision.idempotency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.anvillatch.decision.model.HostIdentity;

/**
 * Owners of caller-chosen idempotency keys, computed from the claim records of a stream in offset order: a key belongs
 * to the incarnation of a host that claims it first. All hosts that read the same records compute the same owners.
 *
 * <p>Invariants: the owner of a key never changes while its record is retained; a key that a dropped or evicted record
 * may have claimed counts as too old, not as unclaimed. So do keys that may be older than a restore of the log from an
 * older copy, which may have lost their claims. Not thread safe: owned by the host's decision loop.
 */
public final class KeyClaims {
    /** Maximum tolerated skew between wall clocks, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    /** Default maximum number of retained keys. */
    public static final int MAX_KEYS = 50_000;

    /**
     * A record of the stream: keys that are claimed together.
     *
     * @param owner incarnation of the host that claims the keys
     * @param writtenMillis wall clock time of that host in milliseconds
     * @param keys the keys
     * @param history history of the log for which the record was written; the log refuses it in any other
     */
    public record ClaimRecord(HostIdentity owner, long writtenMillis, List<String> keys, long history) {}

    private final int capacity;
    private final Map<String, HostIdentity> owners = new HashMap<>();
    private final Deque<ClaimRecord> retained = new ArrayDeque<>();
    private long nextOffset;
    private long history;
    private long latestRecordHistory;
    private long completeSinceMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of retained keys
     */
    public KeyClaims(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Applies the record at an offset. Records must be applied in offset order; a repeated one has no effect.
     *
     * @param offset offset in the stream
     * @param entry the record
     * @return the keys that this record is the first to claim
     */
    public List<String> addRecord(long offset, ClaimRecord entry) {
        if (offset < nextOffset) {
            return List.of();
        }
        if (offset > nextOffset || entry.history() > latestRecordHistory) {
            markIncompleteBefore(entry.writtenMillis());
        }
        nextOffset = offset + 1;
        latestRecordHistory = Math.max(latestRecordHistory, entry.history());
        List<String> first = entry.keys().stream()
                .filter(key -> owners.putIfAbsent(key, entry.owner()) == null)
                .toList();
        if (!first.isEmpty()) {
            retained.addLast(entry);
        }
        while (owners.size() > capacity) {
            evictOldest();
        }
        return first;
    }

    /**
     * Starts a history of the log: the stream is read from its beginning again. Known owners stay.
     *
     * @param newHistory number of the history
     */
    public void startHistory(long newHistory) {
        history = newHistory;
        nextOffset = 0;
    }

    /**
     * Records that the stream was read to its end. If no record was written since the log was restored, the restore was
     * before now.
     *
     * @param nowMillis wall clock time in milliseconds
     */
    public void markCaughtUp(long nowMillis) {
        if (latestRecordHistory < history) {
            latestRecordHistory = history;
            markIncompleteBefore(nowMillis);
        }
    }

    /**
     * Returns the history of the log that is read.
     *
     * @return number of the history
     */
    public long history() {
        return history;
    }

    private void evictOldest() {
        ClaimRecord oldest = retained.removeFirst();
        oldest.keys().forEach(key -> owners.remove(key, oldest.owner()));
        markIncompleteBefore(oldest.writtenMillis());
    }

    private void markIncompleteBefore(long millis) {
        completeSinceMillis = Math.max(completeSinceMillis, millis);
    }

    /**
     * Finds the owner of a key.
     *
     * @param key the key
     * @return the incarnation of a host that claimed it first, or empty if no retained record claims it
     */
    public Optional<HostIdentity> ownerOf(String key) {
        return Optional.ofNullable(owners.get(key));
    }

    /**
     * Returns whether a key may have been claimed in a record that was dropped unread or evicted.
     *
     * @param keyMillis creation time of the key in milliseconds
     * @return true if a request with the key must not run
     */
    public boolean isTooOld(long keyMillis) {
        return completeSinceMillis != Long.MIN_VALUE && keyMillis < completeSinceMillis + MAX_CLOCK_SKEW_MILLIS;
    }

    /**
     * Returns the offset to read next.
     *
     * @return 0 or more
     */
    public long nextOffset() {
        return nextOffset;
    }
}
