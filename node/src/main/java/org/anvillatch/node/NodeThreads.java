package org.anvillatch.node;

import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The thread pool and the scheduler for the sockets of a node. Thread safe. */
public final class NodeThreads implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(NodeThreads.class);
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 4;

    private final QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("scheduler", true);

    /** Creates the thread pool and the scheduler without starting them. */
    public NodeThreads() {
        pool.setName("io");
        pool.setDaemon(true);
    }

    /**
     * Returns the threads that serve the sockets.
     *
     * @return the thread pool
     */
    public QueuedThreadPool pool() {
        return pool;
    }

    /**
     * Returns the scheduler that runs the timeouts of sockets.
     *
     * @return the scheduler
     */
    public ScheduledExecutorScheduler scheduler() {
        return scheduler;
    }

    @Override
    public void start() throws StartException {
        try {
            scheduler.start();
            pool.start();
        } catch (Exception failure) {
            throw new StartException("threads: " + failure.getMessage(), failure);
        }
    }

    @Override
    public void stop() {
        try {
            pool.stop();
            scheduler.stop();
        } catch (Exception failure) {
            LOG.warn("threads did not stop cleanly", failure);
        }
    }
}
