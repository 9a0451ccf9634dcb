package org.anvillatch.operator;

import java.util.List;

/**
 * A node's answer to a script. Immutable and thread safe.
 *
 * @param result result of the script
 * @param message one sentence that explains the result
 * @param change identifier of the change, empty for questions
 * @param version current configuration version on the answering host
 * @param findings errors in the script
 * @param tables answers to the questions, or details of the change
 */
public record CommandResult(
        String result, String message, String change, long version, List<Finding> findings, List<Table> tables) {
    /**
     * An error in the script.
     *
     * @param place position in the script
     * @param message description of the error
     */
    public record Finding(String place, String message) {}

    /**
     * A table of text cells.
     *
     * @param title title of the table
     * @param columns names of the columns
     * @param rows one list of cells for each row
     */
    public record Table(String title, List<String> columns, List<List<String>> rows) {}

    /**
     * Returns the exit status of the command.
     *
     * @return the status, see {@link ExitStatus}
     */
    public ExitStatus exitStatus() {
        return switch (result) {
            case "ANSWERED", "ACCEPTED", "WOULD_BE_ACCEPTED" -> ExitStatus.DONE;
            case "NOT_KNOWN_YET" -> ExitStatus.NOT_KNOWN_YET;
            default -> ExitStatus.REJECTED;
        };
    }
}
