package org.anvillatch.decision.drain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The processes of the endpoint on one host: which one is current, and which are leaving. Orders the reports of
 * processes that start again under their id, whose clock is set back between two starts, and whose reports arrive late.
 *
 * <p>At most one process uses the endpoint's address at a time, and a report arrives at most
 * {@link #MAX_LATENESS_MICROS} after it was sent. A report that arrives later than that after the first report of the
 * current process was therefore sent after the current process had started, so that its sender started later still.
 *
 * <p>Invariants: a process that is leaving stays so; an earlier process never replaces one that still reports. Not thread
 * safe: owned by the host's decision loop.
 */
public final class EndpointProcesses {
    /** Maximum time from the sending of a report to its arrival, in microseconds; 4 s have been observed. */
    public static final long MAX_LATENESS_MICROS = 5_000_000;

    /**
     * Silence of a process that is leaving after which an earlier one may replace it, in microseconds. Longer than
     * {@link #MAX_LATENESS_MICROS}, since a report that is later than assumed would break the commitment.
     */
    private static final long MIN_SILENCE_AFTER_LEAVING_MICROS = 30_000_000;

    /** Maximum number of processes remembered of each kind; each start or stop of the endpoint adds one. */
    private static final int MAX_REMEMBERED = 64;

    private final Set<InstanceIdentity> earlier = new LinkedHashSet<>();

    /** The processes that are leaving, with the time of their first report or of a later one. */
    private final Map<InstanceIdentity, Long> leaving = new LinkedHashMap<>();

    private final Map<String, Long> deregisteredIds = new HashMap<>();
    private InstanceIdentity current;
    private long currentSinceMicros;
    private long lastReportMicros;
    private long lastSequence;

    /**
     * Returns the current process.
     *
     * @return its identity, or null before the first report
     */
    public InstanceIdentity current() {
        return current;
    }

    /**
     * Returns whether a process is leaving.
     *
     * @param process identity of the process
     * @return true once it has reported that it is leaving
     */
    public boolean isLeaving(InstanceIdentity process) {
        return leaving.containsKey(process);
    }

    /**
     * Returns the processes that are leaving.
     *
     * @return their identities, the latest last
     */
    public List<InstanceIdentity> leaving() {
        return List.copyOf(leaving.keySet());
    }

    /**
     * Adds processes whose leaving an earlier incarnation of this node has acknowledged.
     *
     * @param processes their identities, the latest last
     * @param nowMicros current time in microseconds
     */
    public void recover(List<InstanceIdentity> processes, long nowMicros) {
        for (InstanceIdentity process : processes) {
            rememberLeaving(process, nowMicros);
            if (process.startMillis() == 0) {
                deregisteredIds.put(process.id(), nowMicros);
            }
            if (!process.equals(current)) {
                rememberEarlier(process);
            }
        }
        if (current == null && !processes.isEmpty()) {
            becomeCurrent(processes.get(processes.size() - 1), nowMicros);
        }
    }

    /**
     * Handles a report that the sender is ready.
     *
     * @param process the sender
     * @param sequence sequence number of the report
     * @param nowMicros time of arrival in microseconds
     * @return what the report changes
     */
    public ReportResult ready(InstanceIdentity process, long sequence, long nowMicros) {
        Long deregisteredMicros = deregisteredIds.get(process.id());
        if (deregisteredMicros != null && nowMicros - deregisteredMicros < MAX_LATENESS_MICROS) {
            // The deregistration did not say which process it concerns; the report may have been sent before it.
            rememberLeaving(process, deregisteredMicros);
        }
        if (leaving.containsKey(process)) {
            return ReportResult.ALREADY_LEAVING;
        }
        if (process.equals(current)) {
            if (sequence <= lastSequence) {
                return ReportResult.SUPERSEDED;
            }
        } else if (!returnsLeavingId(process.id(), nowMicros) && isNewer(process, nowMicros)) {
            // A later start alone would prove nothing: the clock of a process that has ended may have been ahead.
            becomeCurrent(process, nowMicros);
        } else {
            return ReportResult.UNDECIDED;
        }
        lastSequence = sequence;
        lastReportMicros = nowMicros;
        return ReportResult.CURRENT;
    }

    /**
     * Handles a report that the sender is leaving. A late one counts as well, since a process never stops leaving.
     *
     * @param process the sender
     * @param nowMicros time of arrival in microseconds
     * @return what the report changes
     */
    public ReportResult leaving(InstanceIdentity process, long nowMicros) {
        if (process.equals(current)) {
            lastReportMicros = nowMicros;
        } else if (!leaving.containsKey(process)) {
            boolean sameId = current != null && current.id().equals(process.id());
            if ((sameId || !earlier.contains(process)) && isNewer(process, nowMicros)) {
                becomeCurrent(process, nowMicros);
            } else if (sameId) {
                // Work for the current process would be accepted by this one, if it is this one that runs.
                return ReportResult.UNDECIDED;
            }
        }
        rememberLeaving(process, nowMicros);
        return process.equals(current) ? ReportResult.CURRENT : ReportResult.LEAVING_RECORDED;
    }

    /**
     * Handles a deregistration that does not name the start of the process.
     *
     * @param id id of the endpoint
     * @param nowMicros time of arrival in microseconds
     * @return what the report changes
     */
    public ReportResult deregistered(String id, long nowMicros) {
        deregisteredIds.values().removeIf(micros -> nowMicros - micros >= MAX_LATENESS_MICROS);
        deregisteredIds.put(id, nowMicros);
        if (current != null && current.id().equals(id)) {
            rememberLeaving(current, nowMicros);
            return ReportResult.CURRENT;
        }
        rememberLeaving(new InstanceIdentity(id, 0), nowMicros);
        return ReportResult.LEAVING_RECORDED;
    }

    private boolean isNewer(InstanceIdentity process, long nowMicros) {
        if (current == null) {
            return true;
        }
        if (earlier.contains(process)) {
            // Its successor was a late report of a process that had ended if nothing else has been heard of it.
            long silenceMicros = leaving.containsKey(current) ? MIN_SILENCE_AFTER_LEAVING_MICROS : MAX_LATENESS_MICROS;
            return nowMicros - lastReportMicros > silenceMicros;
        }
        boolean currentIsOld = nowMicros - currentSinceMicros > MAX_LATENESS_MICROS;
        return process.startMillis() >= current.startMillis()
                || currentIsOld && !returnsLeavingId(process.id(), nowMicros);
    }

    /**
     * Returns whether a report may be a late one of a process that ended before another one with its id, which is leaving,
     * started; it must not return the id to service.
     */
    private boolean returnsLeavingId(String id, long nowMicros) {
        return leaving.entrySet().stream()
                .anyMatch(
                        entry -> entry.getKey().id().equals(id) && nowMicros - entry.getValue() <= MAX_LATENESS_MICROS);
    }

    private void becomeCurrent(InstanceIdentity process, long nowMicros) {
        if (current != null) {
            rememberEarlier(current);
        }
        earlier.remove(process);
        current = process;
        currentSinceMicros = nowMicros;
        lastReportMicros = nowMicros;
        lastSequence = -1;
    }

    private void rememberEarlier(InstanceIdentity process) {
        earlier.remove(process);
        earlier.add(process);
        if (earlier.size() > MAX_REMEMBERED) {
            earlier.remove(earlier.iterator().next());
        }
    }

    private void rememberLeaving(InstanceIdentity process, long nowMicros) {
        Long before = leaving.remove(process);
        long sinceMicros = process.equals(current) ? currentSinceMicros : nowMicros;
        leaving.put(process, before == null ? sinceMicros : before);
        if (leaving.size() > MAX_REMEMBERED) {
            leaving.remove(leaving.keySet().iterator().next());
        }
    }
}
