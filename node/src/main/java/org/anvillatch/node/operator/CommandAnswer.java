package org.anvillatch.node.operator;

import java.util.List;

import org.anvillatch.decision.configuration.Finding;

/**
 * Answer to an operator's script. Immutable and thread safe.
 *
 * @param result result of the script
 * @param message one sentence that explains the result
 * @param change identifier of the change, empty for questions
 * @param version current configuration version on the answering host
 * @param findings errors in the script
 * @param tables answers to the questions, or details of the change
 */
public record CommandAnswer(
        Result result, String message, String change, long version, List<Finding> findings, List<Table> tables) {
    /** Result of a script. */
    public enum Result {
        /** The questions were answered. */
        ANSWERED(200),
        /** The change has taken effect and is final. */
        ACCEPTED(200),
        /** The change would be accepted. */
        WOULD_BE_ACCEPTED(200),
        /** Another change was accepted first. */
        CONFLICT(409),
        /** The script or the change is invalid. */
        INVALID(422),
        /** The operator's access key does not permit the script. */
        FORBIDDEN(403),
        /** The log did not accept the change, which will never take effect. */
        NOT_APPENDED(503),
        /** It is not known yet whether the change will take effect. */
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
     * A table of text cells. Immutable and thread safe.
     *
     * @param title title of the table
     * @param columns names of the columns
     * @param rows one list of cells for each row
     */
    public record Table(String title, List<String> columns, List<List<String>> rows) {}

    /**
     * Creates the answer to a script that was rejected: no question was answered and nothing was changed.
     *
     * @param result reason for the rejection
     * @param message one sentence that explains the result
     * @param version current configuration version
     * @param findings errors in the script
     * @return the answer
     */
    public static CommandAnswer rejected(Result result, String message, long version, List<Finding> findings) {
        return new CommandAnswer(result, message, "", version, findings, List.of());
    }
}
