package org.anvillatch.node.peer;

/**
 * Bytes on a peer connection do not form a valid frame. The message says what and where.
 */
public class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong and where
     * @param cause the cause, may be null
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
