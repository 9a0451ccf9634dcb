package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * What became of a change. Immutable and thread safe.
 *
 * @param change identity of the change
 * @param offset offset of its record
 * @param author operator who made it
 * @param writtenMillis wall clock time of the author's host
 * @param statements the statements in the operators' language
 * @param decision what was decided
 * @param findings what is wrong with it, empty unless invalid
 * @param version version in force after the record
 */
public record ChangeVerdict(
        String change,
        long offset,
        String author,
        long writtenMillis,
        List<String> statements,
        Decision decision,
        List<Finding> findings,
        long version) {
    /** What was decided about a change. */
    public enum Decision {
        /** It is in force. */
        ACCEPTED,
        /** Another change came first. */
        CONFLICT,
        /** It cannot be applied. */
        INVALID
    }
}
