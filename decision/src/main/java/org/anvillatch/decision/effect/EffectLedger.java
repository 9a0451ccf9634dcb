package org.anvillatch.decision.effect;

import java.util.LinkedHashMap;
import java.util.Map;

import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;

/**
 * Records, for one life of a host, what became of every key that it issued.
 *
 * <p>Invariants: {@link Claim.Verdict#RUN} is answered at most once for a key unless the run was reported as
 * {@link Outcome#NOT_RUN}; a key that is older than what is remembered is answered {@link Claim.Verdict#UNKNOWN}, never
 * run; at most {@link #CAPACITY} keys are remembered. Not thread safe: owned by the host's decision loop.
 */
public final class EffectLedger {
    /** Number of keys that are remembered. */
    public static final int CAPACITY = 20_000;

    private final HostIdentity owner;
    private final int capacity;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private long nextSequence = 1;
    private long forgottenBelow = 1;

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
    public EffectLedger(HostIdentity owner, int capacity) {
        this.owner = owner;
        this.capacity = capacity;
    }

    /**
     * Issues a new key.
     *
     * @return a key that was never issued before
     */
    public BoundKey issue() {
        long sequence = nextSequence++;
        entries.put(sequence, new Entry(State.ISSUED, "", Outcome.NOT_RUN));
        forgetOldest();
        return new BoundKey(owner, sequence);
    }

    private void forgetOldest() {
        while (entries.size() > capacity) {
            long oldest = entries.keySet().iterator().next();
            entries.remove(oldest);
            forgottenBelow = Math.max(forgottenBelow, oldest + 1);
        }
    }

    /**
     * Claims the execution of a key.
     *
     * @param key the key of the request
     * @param request fingerprint of the request's operation and body
     * @return whether to run it, or what is known of the earlier attempt
     */
    public Claim claim(BoundKey key, String request) {
        if (!key.owner().equals(owner) || key.sequence() < forgottenBelow) {
            return new Claim(Claim.Verdict.UNKNOWN, Outcome.UNKNOWN);
        }
        Entry entry = entries.get(key.sequence());
        if (entry == null) {
            return new Claim(Claim.Verdict.NEVER_ISSUED, Outcome.NOT_RUN);
        }
        if (!entry.request().isEmpty() && !entry.request().equals(request)) {
            return new Claim(Claim.Verdict.OTHER_REQUEST, Outcome.NOT_RUN);
        }
        return switch (entry.state()) {
            case ISSUED -> begin(key, request);
            case RUNNING -> new Claim(Claim.Verdict.RUNNING, Outcome.UNKNOWN);
            case ENDED -> new Claim(Claim.Verdict.ENDED, entry.outcome());
        };
    }

    private Claim begin(BoundKey key, String request) {
        entries.put(key.sequence(), new Entry(State.RUNNING, request, Outcome.UNKNOWN));
        return new Claim(Claim.Verdict.RUN, Outcome.UNKNOWN);
    }

    /**
     * Records how the claimed execution ended. After {@link Outcome#NOT_RUN} the key may be claimed again.
     *
     * @param key the key that was claimed
     * @param outcome how it ended
     */
    public void ended(BoundKey key, Outcome outcome) {
        Entry entry = entries.get(key.sequence());
        if (entry == null || entry.state() != State.RUNNING) {
            return;
        }
        State state = outcome == Outcome.NOT_RUN ? State.ISSUED : State.ENDED;
        entries.put(key.sequence(), new Entry(state, entry.request(), outcome));
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
