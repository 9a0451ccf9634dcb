package org.anvillatch.decision.drain;

import java.util.Optional;

/**
 * Decides when a host that has started knows which processes of its endpoint are leaving. The platform's store has every
 * process whose leaving was acknowledged, unless it came back from an older copy; for that case other hosts are asked as well.
 *
 * <p>Another host is a witness only if it has a past: it must have run since before the earliest acknowledgement that can
 * still matter, {@link EndpointProcesses#MAX_LATENESS_MICROS} before the start of this host. A host that started
 * together with this one knows nothing, and its answer proves nothing.
 *
 * <p>Invariants: recovery ends without the store only {@link EndpointProcesses#MAX_LATENESS_MICROS} after the start, since
 * reports that arrive from then on were sent after it; and never later. Not thread safe: owned by the host's decision loop.
 */
public final class LeavingRecovery {
    /**
     * Time after the start for which a host that has read the store waits for a witness, in microseconds. Hosts that start
     * together may need longer to find each other; what a witness tells later still counts.
     */
    public static final long MAX_WITNESS_WAIT_MICROS = 200_000;

    private final long startMicros;
    private boolean storeRead;
    private boolean witnessAnswered;
    private boolean noWitnessFound;

    /** What a recovery rests on. */
    public enum Basis {
        /** The store, and a witness. */
        STORE_AND_WITNESS,
        /** The store; no witness has answered yet. */
        STORE,
        /** The time since the start: older reports have arrived. */
        TIME
    }

    /**
     * Creates the decision for a host that starts.
     *
     * @param startMicros time of the start in microseconds
     */
    public LeavingRecovery(long startMicros) {
        this.startMicros = startMicros;
    }

    /** Records that the store has answered. */
    public void storeRead() {
        storeRead = true;
    }

    /**
     * Records the answer of another host.
     *
     * @param uptimeMicros time for which that host has run, in microseconds; 0 if it does not say
     * @param nowMicros current time in microseconds
     */
    public void hostAnswered(long uptimeMicros, long nowMicros) {
        long uptimeAtStart = uptimeMicros - (nowMicros - startMicros);
        if (uptimeAtStart >= EndpointProcesses.MAX_LATENESS_MICROS) {
            witnessAnswered = true;
        }
    }

    /** Records that all hosts that were asked have answered, or that there is no other host. */
    public void allHostsAnswered() {
        noWitnessFound = !witnessAnswered;
    }

    /**
     * Returns whether a witness has answered.
     *
     * @return false while only hosts without a past have answered
     */
    public boolean hasWitness() {
        return witnessAnswered;
    }

    /**
     * Returns what the recovery rests on.
     *
     * @param nowMicros current time in microseconds
     * @return empty while it is not known which processes are leaving
     */
    public Optional<Basis> basis(long nowMicros) {
        boolean witnessAwaited = nowMicros - startMicros < MAX_WITNESS_WAIT_MICROS;
        if (storeRead && (witnessAnswered || noWitnessFound || !witnessAwaited)) {
            return Optional.of(witnessAnswered ? Basis.STORE_AND_WITNESS : Basis.STORE);
        }
        boolean late = nowMicros - startMicros >= EndpointProcesses.MAX_LATENESS_MICROS;
        return late ? Optional.of(Basis.TIME) : Optional.empty();
    }
}
