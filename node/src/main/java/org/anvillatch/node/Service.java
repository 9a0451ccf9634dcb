package org.anvillatch.node;

/**
 * Something that is started once and stopped once by its owner.
 *
 * <p>Invariant: {@link #stop} releases everything that {@link #start} acquired, also after a start that failed.
 */
public interface Service {
    /**
     * Acquires sockets and threads.
     *
     * @throws StartException if the service cannot run; its message names the setting at fault
     */
    void start() throws StartException;

    /** Releases everything. */
    void stop();
}
