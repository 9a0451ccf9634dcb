package org.anvillatch.node;

/**
 * A component of the process that its owner starts once and stops once.
 *
 * <p>Invariant: {@link #stop} releases everything that {@link #start} acquired, also after a start that failed.
 */
public interface Service {
    /**
     * Starts the service and acquires its sockets and threads.
     *
     * @throws StartException if the service cannot start; the message names what failed
     */
    void start() throws StartException;

    /** Stops the service and releases its sockets and threads. */
    void stop();
}
