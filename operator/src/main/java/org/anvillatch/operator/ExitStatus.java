package org.anvillatch.operator;

/**
 * Exit statuses of {@code anvillatch}. Immutable and thread safe.
 */
public enum ExitStatus {
    /** The questions were answered, or the change has taken effect. */
    DONE(0),
    /** Nothing was changed. */
    REJECTED(1),
    /** The command line is invalid. */
    WRONG_USAGE(2),
    /** It is not known yet whether the change will take effect. */
    NOT_KNOWN_YET(3),
    /** The node did not answer, so it is not known whether a change will take effect. */
    NO_ANSWER(4);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return 0 to 4
     */
    public int code() {
        return code;
    }
}
