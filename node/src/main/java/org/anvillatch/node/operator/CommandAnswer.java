package org.anvillatch.node.operator;

import java.util.List;

import org.anvillatch.decision.configuration.Finding;

/**
 * Answer to an operator's script. Immutable and thread safe.
 *
 * @param result what became of the script
 * @param message one sentence for people
 * @param change identity of the change, empty for questions
 * @param version version in force on the answering host
 * @param findings everything that is wrong with the script
 * @param tables answers to questions, or details of a change
 */
public record CommandAnswer(
        Result result, String message, String change, long version, List<Finding> findings, List<Table> tables) {
    /** What became of a script. */
    public enum Result {
        /** Questions were answered. */
        ANSWERED(200),
        /** The change is in force and cannot revert. */
        ACCEPTED(200),
        /** The change would be accepted. */
        WOULD_BE_ACCEPTED(200),
        /** Another change came first. */
        CONFLICT(409),
        /** The script or the change is wrong. */
        INVALID(422),
        /** The operator's key does not permit this. */
        FORBIDDEN(403),
        /** The log did not take the change; it never takes effect. */
        NOT_APPENDED(503),
        /** It is not known whether the change will take effect. */
        NOT_KNOWN_YET(202);

        private final int status;

        Result(int status) {
            this.status = status;
        }

        /**
         * Returns the HTTP status of the answer.
         *
         * @return status code
         */
        public int status() {
            return status;
        }
    }

    /**
     * A table of texts. Immutable and thread safe.
     *
     * @param title what the table shows
     * @param columns names of the columns
     * @param rows texts, one list a row
     */
    public record Table(String title, List<String> columns, List<List<String>> rows) {}

    /**
     * Creates the answer to a script that cannot be carried out.
     *
     * @param result why
     * @param message one sentence for people
     * @param version version in force
     * @param findings everything that is wrong
     * @return the answer
     */
    public static CommandAnswer rejected(Result result, String message, long version, List<Finding> findings) {
        return new CommandAnswer(result, message, "", version, findings, List.of());
    }
}
