package org.anvillatch.operator;

/**
 * Exit statuses of {@code anvillatch}. Immutable and thread safe.
 */
public enum ExitStatus {
    /** The questions were answered, or the change is in force. */
    DONE(0),
    /** Nothing was changed. */
    REJECTED(1),
    /** The command line is wrong. */
    WRONG_USAGE(2),
    /** It is not known yet whether the change takes effect. */
    NOT_KNOWN_YET(3),
    /** The node does not answer; it is not known whether a change takes effect. */
    NO_ANSWER(4);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /**
     * Returns the number given to the shell.
     *
     * @return 0 to 4
     */
    public int code() {
        return code;
    }
}
