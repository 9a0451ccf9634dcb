package org.anvillatch.decision.idempotency;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;

/**
 * Records, for one life of a host, what became of every key that it issued.
 *
 * <p>Invariants: {@link ClaimResult.Verdict#RUN} is answered at most once for a key unless the run was reported as
 * {@link Outcome#NOT_RUN}; a key that is older than what is remembered is answered {@link ClaimResult.Verdict#UNKNOWN}, never
 * run; at most {@link #CAPACITY} keys are remembered. Not thread safe: owned by the host's decision loop.
 */
public final class IdempotencyLedger {
    /** Number of keys that are remembered. */
    public static final int CAPACITY = 20_000;

    private final HostIdentity owner;
    private final int capacity;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long nextSequence = 1;

    private enum State {
        ISSUED,
        RUNNING,
        ENDED
    }

    private record Entry(State state, String request, Outcome outcome) {}

    /**
     * Creates an empty ledger.
     *
     * @param owner this life of the host
     * @param capacity number of keys that are remembered
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
        forgetOldest();
        return key;
    }

    private void forgetOldest() {
        while (entries.size() > capacity) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /**
     * Takes a key that a caller chose, when a record that this life of the host has written names it first.
     *
     * @param key the key
     */
    public void adopt(String key) {
        entries.put(key, new Entry(State.ISSUED, "", Outcome.NOT_RUN));
        forgetOldest();
    }

    /**
     * Claims the execution of a key.
     *
     * @param key the key of the request; this life of the host owns it
     * @param request fingerprint of the request's operation and body
     * @return whether to run it, or what is known of the earlier attempt
     */
    public ClaimResult claim(String key, String request) {
        Entry entry = entries.get(key);
        if (entry == null) {
            return isFromTheFuture(key)
                    ? new ClaimResult(ClaimResult.Verdict.NEVER_ISSUED, Outcome.NOT_RUN)
                    : new ClaimResult(ClaimResult.Verdict.UNKNOWN, Outcome.UNKNOWN);
        }
        if (!entry.request().isEmpty() && !entry.request().equals(request)) {
            return new ClaimResult(ClaimResult.Verdict.OTHER_REQUEST, Outcome.NOT_RUN);
        }
        return switch (entry.state()) {
            case ISSUED -> begin(key, request);
            case RUNNING -> new ClaimResult(ClaimResult.Verdict.RUNNING, Outcome.UNKNOWN);
            case ENDED -> new ClaimResult(ClaimResult.Verdict.ENDED, entry.outcome());
        };
    }

    private boolean isFromTheFuture(String text) {
        Optional<IssuedKey> key = IssuedKey.parse(text);
        return key.isPresent()
                && key.get().owner().equals(owner)
                && Long.compareUnsigned(key.get().sequence(), nextSequence) >= 0;
    }

    private ClaimResult begin(String key, String request) {
        entries.put(key, new Entry(State.RUNNING, request, Outcome.UNKNOWN));
        return new ClaimResult(ClaimResult.Verdict.RUN, Outcome.UNKNOWN);
    }

    /**
     * Records how the claimed execution ended. After {@link Outcome#NOT_RUN} the key may be claimed again.
     *
     * @param key the key that was claimed
     * @param outcome how it ended
     */
    public void ended(String key, Outcome outcome) {
        Entry entry = entries.get(key);
        if (entry == null || entry.state() != State.RUNNING) {
            return;
        }
        State state = outcome == Outcome.NOT_RUN ? State.ISSUED : State.ENDED;
        entries.put(key, new Entry(state, entry.request(), outcome));
    }

    /**
     * Returns how many keys are remembered.
     *
     * @return at most the capacity
     */
    public int size() {
        return entries.size();
    }
}
