package org.anvillatch.node.listener;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import org.anvillatch.node.memory.MemoryBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open connections of one listener. Beyond the maximum, a new connection replaces the one that is least likely to be
 * in use; if all are in use, it is closed itself.
 *
 * <p>Invariant: the number of open connections exceeds the maximum only while a replaced one is being closed. Thread
 * safe.
 */
public final class ListenerConnections {
    /** Estimated memory of an open connection, in bytes. */
    static final int CONNECTION_BYTES = 6 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(ListenerConnections.class);
    private static final int MIN_CONNECTIONS = 8;

    private final String name;
    private final MemoryBudget budget;
    private final Counter replaced;
    private final Set<GuardedEndPoint> connections = ConcurrentHashMap.newKeySet();
    private volatile int maxConnections;
    private volatile boolean limitLogged;

    ListenerConnections(String name, int maxConnections, MemoryBudget budget, Counter replaced) {
        this.name = name;
        this.maxConnections = maxConnections;
        this.budget = budget;
        this.replaced = replaced;
    }

    /**
     * Returns the name of the listener.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    int maxConnections() {
        return maxConnections;
    }

    MemoryBudget budget() {
        return budget;
    }

    Set<GuardedEndPoint> connections() {
        return connections;
    }

    int size() {
        return connections.size();
    }

    long reservedBytes() {
        return connections.stream()
                .mapToLong(connection -> connection.reservation().bytes())
                .sum();
    }

    void reduce(double factor) {
        maxConnections = Math.max(MIN_CONNECTIONS, (int) (maxConnections * factor));
    }

    void opened(GuardedEndPoint connection) {
        connections.add(connection);
        boolean memory = connection.reservation().tryGrow(CONNECTION_BYTES, MemoryBudget.Holder.SMALL);
        if (connections.size() <= maxConnections && memory) {
            return;
        }
        if (!limitLogged) {
            limitLogged = true;
            LOG.warn(
                    "{} connections on {} reach the limit of {}, or memory is short (reservedBytes={}): new ones replace"
                            + " others",
                    connections.size(),
                    name,
                    maxConnections,
                    budget.reservedBytes());
        }
        replaced.inc();
        GuardedEndPoint victim = findVictim(connection);
        (victim == null ? connection : victim).close();
    }

    /** Finds the connection that has been unused for longest in the least useful state; null if all are in use. */
    private GuardedEndPoint findVictim(GuardedEndPoint newcomer) {
        long nowNanos = System.nanoTime();
        GuardedEndPoint victim = null;
        int victimClass = Progress.IN_USE;
        long victimNanos = 0;
        for (GuardedEndPoint candidate : connections) {
            int candidateClass = candidate.progress().replacementClass(nowNanos);
            long nanos = candidate.progress().phaseNanos(nowNanos);
            boolean better = candidateClass < victimClass || candidateClass == victimClass && nanos > victimNanos;
            if (candidate != newcomer && candidateClass != Progress.IN_USE && better) {
                victim = candidate;
                victimClass = candidateClass;
                victimNanos = nanos;
            }
        }
        return victim;
    }

    void closed(GuardedEndPoint connection) {
        connections.remove(connection);
    }
}
