package org.anvillatch.node;

import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The threads of a node that wait for sockets and timers. Thread safe. */
public final class NodeThreads implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(NodeThreads.class);
    private static final int MOST_THREADS = 24;
    private static final int LEAST_THREADS = 4;

    private final QueuedThreadPool pool = new QueuedThreadPool(MOST_THREADS, LEAST_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("scheduler", true);

    /** Creates the threads; they run after the start. */
    public NodeThreads() {
        pool.setName("io");
        pool.setDaemon(true);
    }

    /**
     * Returns the threads that serve sockets.
     *
     * @return the pool
     */
    public QueuedThreadPool pool() {
        return pool;
    }

    /**
     * Returns the timers of sockets.
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
