package org.anvillatch.decision.idempotency;

import org.anvillatch.decision.model.Outcome;

/**
 * Answer of the {@link IdempotencyLedger}. Immutable and thread safe.
 *
 * @param verdict what to do with the attempt
 * @param firstOutcome what is known of the attempt that came first
 */
public record ClaimResult(Verdict verdict, Outcome firstOutcome) {
    /** What to do with an attempt. */
    public enum Verdict {
        /** This attempt runs. */
        RUN,
        /** An earlier attempt runs at this moment. */
        RUNNING,
        /** An earlier attempt has ended. */
        ENDED,
        /** The key was issued for, and used by, a request with another operation or body. */
        OTHER_REQUEST,
        /** This life of the host never issued the key. */
        NEVER_ISSUED,
        /** The key belongs to another life of the host or is older than what is remembered. */
        UNKNOWN
    }
}
