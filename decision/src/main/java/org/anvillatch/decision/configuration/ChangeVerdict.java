package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * Result of a configuration change. Immutable and thread safe.
 *
 * @param change identity of the change
 * @param position position of its record, see {@link org.anvillatch.decision.model.LogPosition}
 * @param author operator who made the change
 * @param writtenMillis wall clock time of the host that wrote the record, in milliseconds
 * @param statements the statements in the operators' language
 * @param decision decision about the change
 * @param findings errors in the change, empty unless it is invalid
 * @param version version of the configuration after the record
 */
public record ChangeVerdict(
        String change,
        long position,
        String author,
        long writtenMillis,
        List<String> statements,
        Decision decision,
        List<Finding> findings,
        long version) {
    /**
     * Returns this verdict with another decision.
     *
     * @param newDecision the decision
     * @return the verdict
     */
    public ChangeVerdict withDecision(Decision newDecision) {
        return new ChangeVerdict(change, position, author, writtenMillis, statements, newDecision, findings, version);
    }

    /** Decision about a change. */
    public enum Decision {
        /** The change was applied. */
        ACCEPTED,
        /** Another change was applied first, so the change is not based on the current version. */
        CONFLICT,
        /** The change has errors and cannot be applied. */
        INVALID,
        /**
         * The change was accepted, but the log was restored from an older copy, and the host that wrote the
         * configuration to the restored log did not have the change.
         */
        LOST
    }
}
