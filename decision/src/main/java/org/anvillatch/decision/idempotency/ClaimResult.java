package org.anvillatch.decision.idempotency;

import org.anvillatch.decision.model.Outcome;

/**
 * Result of claiming an idempotency key in the {@link IdempotencyLedger}. Immutable and thread safe.
 *
 * @param verdict what to do with the attempt
 * @param firstOutcome outcome of the earlier attempt with the key; meaningful only for {@link Verdict#ENDED}
 */
public record ClaimResult(Verdict verdict, Outcome firstOutcome) {
    /** What to do with an attempt. */
    public enum Verdict {
        /** This attempt runs. */
        RUN,
        /** An earlier attempt is running. */
        RUNNING,
        /** An earlier attempt has ended. */
        ENDED,
        /** The key was already used by a request with another operation or body. */
        OTHER_REQUEST,
        /** This incarnation of the host never issued the key. */
        NEVER_ISSUED,
        /** The key belongs to another incarnation of the host or is older than all keys in the ledger. */
        UNKNOWN
    }
}
