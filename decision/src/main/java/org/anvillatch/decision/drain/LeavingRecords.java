package org.anvillatch.decision.drain;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Processes of other hosts' endpoints whose leaving their nodes have acknowledged. This host is a witness: it tells a node
 * that was restarted.
 *
 * <p>Invariant: the number of records is bounded. Not thread safe: owned by the host's decision loop.
 */
public final class LeavingRecords {
    /** Time for which the records of a host are kept after its last notice, in microseconds. */
    public static final long RETENTION_MICROS = 600_000_000;

    /** Maximum number of processes of one host, the latest; an endpoint that leaves is replaced once. */
    public static final int MAX_PROCESSES = 8;

    /** Maximum number of hosts, the design size. */
    private static final int MAX_HOSTS = 16_000;

    private final Map<String, HostRecord> byHost = new LinkedHashMap<>();

    private record HostRecord(Set<String> processes, long updatedMicros) {}

    /**
     * Adds processes of a host's endpoint.
     *
     * @param host name of the host
     * @param processes identities of the processes
     * @param nowMicros current time in microseconds
     */
    public void add(String host, List<String> processes, long nowMicros) {
        Set<String> all = new LinkedHashSet<>(of(host, nowMicros));
        all.removeAll(processes);
        all.addAll(processes);
        while (all.size() > MAX_PROCESSES) {
            all.remove(all.iterator().next());
        }
        byHost.remove(host);
        byHost.put(host, new HostRecord(all, nowMicros));
        // The entries are in the order of their last notice.
        while (!byHost.isEmpty() && isRemovable(byHost.values().iterator().next(), nowMicros)) {
            byHost.remove(byHost.keySet().iterator().next());
        }
    }

    private boolean isRemovable(HostRecord eldest, long nowMicros) {
        return byHost.size() > MAX_HOSTS || nowMicros - eldest.updatedMicros() > RETENTION_MICROS;
    }

    /**
     * Returns the recorded processes of a host's endpoint.
     *
     * @param host name of the host
     * @param nowMicros current time in microseconds
     * @return identities of the processes, the latest last; empty if none is known
     */
    public List<String> of(String host, long nowMicros) {
        HostRecord known = byHost.get(host);
        boolean valid = known != null && nowMicros - known.updatedMicros() <= RETENTION_MICROS;
        return valid ? List.copyOf(known.processes()) : List.of();
    }

    /**
     * Returns the number of hosts with records.
     *
     * @return 0 or more
     */
    public int hosts() {
        return byHost.size();
    }
}
