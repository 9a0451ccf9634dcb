package org.anvillatch.node.peer;

/**
 * Thrown if received bytes are not a valid frame, or if a message cannot be encoded as a frame. The message names the
 * fault and its position.
 */
public class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the fault and its position
     * @param cause the cause, or null
     */
    public FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
