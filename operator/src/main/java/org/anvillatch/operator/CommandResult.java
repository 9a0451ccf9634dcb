package org.anvillatch.operator;

import java.util.List;

/**
 * A node's answer to a script. Immutable and thread safe.
 *
 * @param result what became of the script
 * @param message one sentence for people
 * @param change identity of the change, empty for questions
 * @param version version in force on the answering host
 * @param findings everything that is wrong with the script
 * @param tables answers to questions, or details of a change
 */
public record CommandResult(
        String result, String message, String change, long version, List<Finding> findings, List<Table> tables) {
    /**
     * Something wrong in the script.
     *
     * @param place where it is
     * @param message what is wrong
     */
    public record Finding(String place, String message) {}

    /**
     * A table of texts.
     *
     * @param title what the table shows
     * @param columns names of the columns
     * @param rows texts, one list a row
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
