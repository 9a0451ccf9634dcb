package org.anvillatch.node.listener;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.node.Service;
import org.anvillatch.node.memory.MemoryBudget;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes connections of the listeners that are too slow, and bounds their number.
 *
 * <p>Invariant: a connection whose request is being processed is closed only if its client does not read the response.
 * Thread safe.
 */
public final class ConnectionGuard implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionGuard.class);
    private static final long SWEEP_MILLIS = 500;

    /** Maximum time for a head until the configuration names it, in milliseconds. */
    private static final long INITIAL_HEADER_TIMEOUT_MILLIS = 3_000;

    /** Open files besides the connections of listeners: 200 for files, the rest for connections to other processes. */
    private static final long OTHER_DESCRIPTORS = 1_500;

    /** Maximum number of lines about closed connections in one sweep. */
    private static final int MAX_LINES_PER_SWEEP = 5;

    private final Scheduler scheduler;
    private final MemoryBudget budget;
    private final List<ListenerConnections> listeners = new CopyOnWriteArrayList<>();
    private final Counter closedSlow;
    private final Counter replaced;
    private volatile long headerTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(INITIAL_HEADER_TIMEOUT_MILLIS);
    private volatile boolean stopped;

    /**
     * Creates the guard.
     *
     * @param scheduler runs the sweeps
     * @param budget account of the connections
     * @param metrics registry for the numbers of open, closed and replaced connections
     */
    public ConnectionGuard(Scheduler scheduler, MemoryBudget budget, MetricRegistry metrics) {
        this.scheduler = scheduler;
        this.budget = budget;
        this.closedSlow = metrics.counter("connections.closed_slow");
        this.replaced = metrics.counter("connections.replaced");
        metrics.register("connections.open", (Gauge<Integer>)
                () -> listeners.stream().mapToInt(ListenerConnections::size).sum());
        metrics.register("connections.reserved_bytes", (Gauge<Long>) () ->
                listeners.stream().mapToLong(ListenerConnections::reservedBytes).sum());
    }

    /**
     * Registers a listener.
     *
     * @param name name of the listener, for the log
     * @param maxConnections maximum number of open connections on a host with enough descriptors
     * @return the connections of the listener
     */
    public ListenerConnections addListener(String name, int maxConnections) {
        ListenerConnections connections = new ListenerConnections(name, maxConnections, budget, replaced);
        listeners.add(connections);
        return connections;
    }

    /**
     * Sets the maximum time for the head of a request.
     *
     * @param millis time in milliseconds
     */
    public void setHeaderTimeoutMillis(long millis) {
        headerTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public void start() {
        int total =
                listeners.stream().mapToInt(ListenerConnections::maxConnections).sum();
        long available = FileDescriptors.limit() - OTHER_DESCRIPTORS;
        if (available < total) {
            double factor = Math.max(0, available) / (double) total;
            LOG.warn("connection limits reduced to {} of {}: too few file descriptors", available, total);
            listeners.forEach(listener -> listener.reduce(factor));
        }
        schedule();
    }

    private void schedule() {
        if (!stopped) {
            scheduler.schedule(this::runSweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runSweep() {
        try {
            sweep(System.nanoTime());
        } catch (RuntimeException | Error failure) {
            LOG.error("sweep of the connections failed", failure);
        } finally {
            schedule();
        }
    }

    /** Closes the connections that are too slow at a point in time. */
    void sweep(long nowNanos) {
        int lines = 0;
        for (ListenerConnections listener : listeners) {
            for (GuardedEndPoint connection : listener.connections()) {
                String problem = connection.progress().findProblem(nowNanos, headerTimeoutNanos);
                if (problem != null) {
                    closedSlow.inc();
                    if (lines < MAX_LINES_PER_SWEEP) {
                        lines++;
                        LOG.info(
                                "connection of {} on {} closed: {}",
                                connection.getRemoteSocketAddress(),
                                listener.name(),
                                problem);
                    }
                    connection.close();
                }
            }
        }
    }

    @Override
    public void stop() {
        stopped = true;
    }
}
