package org.anvillatch.decision.idempotency;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;

/**
 * Ledger of the idempotency keys that one incarnation of a host owns, with the state and outcome of each.
 *
 * <p>Invariants: {@link ClaimResult.Verdict#RUN} is returned at most once for a key unless the run was recorded as
 * {@link Outcome#NOT_RUN}; a key that was evicted from the ledger gets {@link ClaimResult.Verdict#UNKNOWN} and never
 * runs; the number of keys never exceeds the capacity. Not thread safe: owned by the host's decision loop.
 */
public final class IdempotencyLedger {
    /** Default maximum number of keys in a ledger. */
    public static final int MAX_KEYS = 20_000;

    private final HostIdentity owner;
    private final int capacity;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long nextSequence = 1;

    private enum State {
        ISSUED,
        RUNNING,
        ENDED
    }

    private record Entry(State state, String fingerprint, Outcome outcome) {}

    /**
     * Creates an empty ledger.
     *
     * @param owner this incarnation of the host
     * @param capacity maximum number of keys
     */
    public IdempotencyLedger(HostIdentity owner, int capacity) {
        this.owner = owner;
        this.capacity = capacity;
    }

    /**
     * Issues a new key.
     *
     * @return a key that was never issued before
     */
    public IssuedKey issue() {
        long sequence = nextSequence++;
        IssuedKey key = new IssuedKey(owner, sequence);
        entries.put(key.toString(), new Entry(State.ISSUED, "", Outcome.NOT_RUN));
        evictOldest();
        return key;
    }

    private void evictOldest() {
        while (entries.size() > capacity) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * Adds a key that a caller chose, after a record of this incarnation of the host was the first to claim it.
     *
     * @param key the key
     */
    public void adopt(String key) {
        entries.put(key, new Entry(State.ISSUED, "", Outcome.NOT_RUN));
        evictOldest();
    }

    /**
     * Claims the execution of a request by its key.
     *
     * @param key the key of the request, owned by this incarnation of the host
     * @param fingerprint fingerprint of the request's operation and body
     * @return whether to run the request, and the outcome of an earlier attempt if it is known
     */
    public ClaimResult claim(String key, String fingerprint) {
        Entry entry = entries.get(key);
        if (entry == null) {
            return isNotYetIssued(key)
                    ? new ClaimResult(ClaimResult.Verdict.NEVER_ISSUED, Outcome.NOT_RUN)
                    : new ClaimResult(ClaimResult.Verdict.UNKNOWN, Outcome.UNKNOWN);
        }
        if (!entry.fingerprint().isEmpty() && !entry.fingerprint().equals(fingerprint)) {
            return new ClaimResult(ClaimResult.Verdict.OTHER_REQUEST, Outcome.NOT_RUN);
        }
        return switch (entry.state()) {
            case ISSUED -> startRun(key, fingerprint);
            case RUNNING -> new ClaimResult(ClaimResult.Verdict.RUNNING, Outcome.UNKNOWN);
            case ENDED -> new ClaimResult(ClaimResult.Verdict.ENDED, entry.outcome());
        };
    }

    private boolean isNotYetIssued(String text) {
        Optional<IssuedKey> key = IssuedKey.parse(text);
        return key.isPresent()
                && key.get().owner().equals(owner)
                && Long.compareUnsigned(key.get().sequence(), nextSequence) >= 0;
    }

    private ClaimResult startRun(String key, String fingerprint) {
        entries.put(key, new Entry(State.RUNNING, fingerprint, Outcome.UNKNOWN));
        return new ClaimResult(ClaimResult.Verdict.RUN, Outcome.UNKNOWN);
    }

    /**
     * Records the outcome of a claimed execution. After {@link Outcome#NOT_RUN} the key may be claimed again.
     *
     * @param key the key that was claimed
     * @param outcome outcome of the execution
     */
    public void recordOutcome(String key, Outcome outcome) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state() != State.RUNNING) {
            return;
        }
        State state = outcome == Outcome.NOT_RUN ? State.ISSUED : State.ENDED;
        entries.put(key, new Entry(state, entry.fingerprint(), outcome));
    }

    /**
     * Returns the number of keys in the ledger.
     *
     * @return at most the capacity
     */
    public int size() {
        return entries.size();
    }
}
