package org.anvillatch.decision.idempotency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.anvillatch.decision.model.HostIdentity;

/**
 * Reduces the stream of claims in offset order: the first life of a host that claimed a key owns it. Every host that has
 * read the same records names the same owner.
 *
 * <p>Invariants: the owner of a key never changes while its record is held; a key that may have been claimed in a record
 * which was not read is reported as too old, never as free. Not thread safe: owned by the host's decision loop.
 */
public final class KeyClaims {
    /** Largest difference of wall clocks that is allowed for, in milliseconds. */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    /** Number of keys that are held. */
    public static final int CAPACITY = 50_000;

    /**
     * A record of the stream: keys claimed together.
     *
     * @param owner life of the host that claims them
     * @param writtenMillis wall clock time of that host
     * @param keys the keys
     */
    public record ClaimRecord(HostIdentity owner, long writtenMillis, List<String> keys) {}

    private final int capacity;
    private final Map<String, HostIdentity> owners = new HashMap<>();
    private final Deque<ClaimRecord> held = new ArrayDeque<>();
    private long nextOffset;
    private long completeSinceMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param capacity number of keys that are held
     */
    public KeyClaims(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Takes the record at an offset.
     *
     * @param offset offset in the stream, larger than those before
     * @param entry the record
     * @return the keys that this record is the first to name
     */
    public List<String> take(long offset, ClaimRecord entry) {
        if (offset < nextOffset) {
            return List.of();
        }
        if (offset > nextOffset) {
            completeSinceMillis = Math.max(completeSinceMillis, entry.writtenMillis());
        }
        nextOffset = offset + 1;
        held.addLast(entry);
        List<String> first = entry.keys().stream()
                .filter(key -> owners.putIfAbsent(key, entry.owner()) == null)
                .toList();
        while (owners.size() > capacity) {
            forgetOldest();
        }
        return first;
    }

    private void forgetOldest() {
        ClaimRecord oldest = held.removeFirst();
        oldest.keys().forEach(key -> owners.remove(key, oldest.owner()));
        completeSinceMillis = Math.max(completeSinceMillis, oldest.writtenMillis());
    }

    /**
     * Finds the owner of a key.
     *
     * @param key the key
     * @return the life of a host that claimed it first, or empty if no held record names it
     */
    public Optional<HostIdentity> ownerOf(String key) {
        return Optional.ofNullable(owners.get(key));
    }

    /**
     * Tells whether a key may have been claimed in a record that is not held.
     *
     * @param keyMillis time at which the key was made
     * @return true if it must not be run
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
