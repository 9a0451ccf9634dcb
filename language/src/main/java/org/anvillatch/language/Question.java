package org.anvillatch.language;

/**
 * One question of an operator. Immutable and thread safe.
 */
public sealed interface Question {
    /** What is in force, in each failure domain. */
    record ShowConfiguration() implements Question {}

    /** The latest changes and what became of them. */
    record ShowHistory() implements Question {}

    /** All hosts with their endpoints and load. */
    record ShowHosts() implements Question {}

    /** Quarantined requests. */
    record ShowQuarantine() implements Question {}

    /** By what refusals are grouped. */
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
     * What was shed.
     *
     * @param grouping by what refusals are grouped
     * @param top most groups, largest first
     * @param lastSeconds only refusals of the last seconds
     */
    record ShowShed(Grouping grouping, int top, int lastSeconds) implements Question {}

    /**
     * What became of one change.
     *
     * @param change identity of the change
     */
    record ShowChange(String change) implements Question {}

    /**
     * The decisions about one request.
     *
     * @param request identity of the root request
     */
    record Explain(String request) implements Question {}

    /** The statements of the language. */
    record Help() implements Question {}
}
