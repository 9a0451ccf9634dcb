package org.anvillatch.node;

/**
 * Thrown if a service cannot start. The message names what failed and where.
 */
public class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed and where
     * @param cause the cause, or null
     */
    public StartException(String message, Throwable cause) {
        super(message, cause);
    }
}
