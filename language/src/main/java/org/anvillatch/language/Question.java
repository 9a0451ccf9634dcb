package org.anvillatch.language;

/**
 * A question of an operator. Immutable and thread safe.
 */
public sealed interface Question {
    /** Asks for the current configuration and its version in each failure domain. */
    record ShowConfiguration() implements Question {}

    /** Asks for the latest changes and their results. */
    record ShowHistory() implements Question {}

    /** Asks for all hosts with their endpoints and load. */
    record ShowHosts() implements Question {}

    /** Asks for the declared teams. */
    record ShowTeams() implements Question {}

    /** Asks for the quarantined requests. */
    record ShowQuarantine() implements Question {}

    /** Criterion by which refusals are grouped. */
    enum Grouping {
        /** By the host that refused. */
        HOST,
        /** By the operation that was refused. */
        OPERATION,
        /** By importance. */
        IMPORTANCE,
        /** By reason. */
        REASON
    }

    /**
     * Asks for the numbers of refusals.
     *
     * @param grouping criterion by which refusals are grouped
     * @param top maximum number of groups; the groups with the most refusals come first
     * @param lastSeconds maximum age of the refusals, in seconds
     */
    record ShowShed(Grouping grouping, int top, int lastSeconds) implements Question {}

    /**
     * Asks for the result of one change.
     *
     * @param change identifier of the change
     */
    record ShowChange(String change) implements Question {}

    /**
     * Asks for the decisions about one request.
     *
     * @param request identifier of the root request
     */
    record Explain(String request) implements Question {}

    /** Asks for the statements of the language. */
    record Help() implements Question {}
}
