package org.anvillatch.node;

/**
 * A service cannot start. The message names what failed and where.
 */
public class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed and where
     * @param cause the cause, may be null
     */
    public StartException(String message, Throwable cause) {
        super(message, cause);
    }
}
