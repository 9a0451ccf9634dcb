package org.anvillatch.decision.rejection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.decision.model.OperationName;

/**
 * What a host knows of the rejections that the calls of its endpoint meet, at the services that it calls and at those that
 * these call in turn, and which root requests it refuses for them.
 *
 * <p>Answers report the rejecting services. A host multiplies the reported calls with its own endpoint's history of
 * calls, so that each host up the call tree knows what an execution of each of its operations needs.
 *
 * <p>Invariants: nested calls are never refused; a report that was not renewed for {@link #FRESH_MICROS} admits the next
 * request, whose calls renew it, and after {@link #MAX_AGE_MICROS} it refuses nothing. Not thread safe: owned by the
 * host's decision loop.
 */
public final class DownstreamRejections {
    /** Maximum age of a report that refuses all requests of other ranks, in microseconds. */
    static final long FRESH_MICROS = 300_000;

    /** Maximum age of a report, in microseconds. */
    static final long MAX_AGE_MICROS = 1_000_000;

    /** A request that is more likely to fail than to complete without retries is admitted only if it gets retries. */
    static final double MIN_SUCCESS = 0.5;

    /** Time constant of the average of reports, in microseconds. */
    private static final double AVERAGE_MICROS = 200_000;

    /** Minimum weight of a report: the average of ten, so that one failing endpoint of many refuses nothing. */
    private static final double MIN_WEIGHT = 0.1;

    /** Ratio below which a service is forgotten. */
    private static final double MIN_RATIO = 0.01;

    private final CallHistory history = new CallHistory();
    private final Map<OperationName, Map<String, Known>> reports = new HashMap<>();
    private final Map<OperationName, Long> probes = new HashMap<>();

    /** An averaged report. */
    private record Known(double ratio, double level, double calls, long atMicros) {
        private Known plus(ServiceRejection report, long nowMicros) {
            double weight = Math.max(MIN_WEIGHT, 1 - Math.exp((atMicros - nowMicros) / AVERAGE_MICROS));
            return new Known(
                    ratio + (report.ratio() - ratio) * weight,
                    level + (report.level() - level) * weight,
                    calls + (report.calls() - calls) * weight,
                    nowMicros);
        }

        /** Averages with an answer that does not name the service, which then rejects nothing. */
        private Known plusNone(long nowMicros) {
            return plus(new ServiceRejection("", 0, 0, calls), nowMicros);
        }
    }

    /** Decision about a root request. */
    public enum Admission {
        /** The request is likely to complete, or little is known. */
        ADMITTED,
        /** The request is one of those whose rejected calls are retried. */
        CHOSEN,
        /** The request would probably fail. */
        REFUSED
    }

    /**
     * What is known about the calls of one operation. Immutable and thread safe.
     *
     * @param rejections the rejecting services, empty if none is known
     * @param success probability that an execution completes without retries
     * @param level lowest rank of the trees that get retries
     * @param ageMicros age of the newest report, in microseconds
     */
    public record Outlook(List<ServiceRejection> rejections, double success, int level, long ageMicros) {
        private static final Outlook NONE = new Outlook(List.of(), 1, 0, 0);
    }

    /**
     * Records a complete execution of this host's endpoint.
     *
     * @param operation the operation that ran
     * @param made number of calls that it made, by called operation
     */
    public void recordExecution(OperationName operation, Map<OperationName, Integer> made) {
        history.record(operation, made);
    }

    /**
     * Records what an answer reports.
     *
     * @param called the operation that was called
     * @param reported the rejecting services that the answer names, empty if there are none
     * @param nowMicros current time in microseconds
     */
    public void recordReport(OperationName called, List<ServiceRejection> reported, long nowMicros) {
        if (reported.isEmpty() && !reports.containsKey(called)) {
            return;
        }
        Map<String, Known> known = reports.computeIfAbsent(called, name -> new HashMap<>());
        Map<String, Known> next = new HashMap<>();
        known.forEach((service, before) -> next.put(service, before.plusNone(nowMicros)));
        for (ServiceRejection report : reported) {
            Known before = known.get(report.service());
            // The answers before did not name the service.
            Known first = new Known(report.ratio() * MIN_WEIGHT, report.level(), report.calls(), nowMicros);
            next.put(report.service(), before == null ? first : before.plus(report, nowMicros));
        }
        next.values().removeIf(entry -> entry.ratio() < MIN_RATIO);
        if (next.isEmpty()) {
            reports.remove(called);
        } else {
            reports.put(called, next);
        }
    }

    /**
     * Returns what is known about the calls of an operation.
     *
     * @param operation an operation of this host's endpoint
     * @param nowMicros current time in microseconds
     * @return the rejecting services, which answers of the operation report to its callers
     */
    public Outlook outlook(OperationName operation, long nowMicros) {
        if (reports.isEmpty()) {
            return Outlook.NONE;
        }
        Map<String, ServiceRejection> sums = new HashMap<>();
        long newest = Long.MIN_VALUE;
        for (Map.Entry<OperationName, Double> called :
                history.callsOf(operation).entrySet()) {
            Map<String, Known> byService = reports.getOrDefault(called.getKey(), Map.of());
            for (Map.Entry<String, Known> entry : byService.entrySet()) {
                Known known = entry.getValue();
                if (nowMicros - known.atMicros() <= MAX_AGE_MICROS) {
                    newest = Math.max(newest, known.atMicros());
                    int level = (int) Math.round(known.level());
                    double calls = called.getValue() * known.calls();
                    sums.merge(
                            entry.getKey(),
                            new ServiceRejection(entry.getKey(), known.ratio(), level, calls),
                            DownstreamRejections::sum);
                }
            }
        }
        double success = 1;
        int level = 0;
        for (ServiceRejection rejection : sums.values()) {
            success *= Math.pow(1 - rejection.ratio(), rejection.calls());
            level = Math.max(level, rejection.level());
        }
        return sums.isEmpty()
                ? Outlook.NONE
                : new Outlook(new ArrayList<>(sums.values()), success, level, nowMicros - newest);
    }

    private static ServiceRejection sum(ServiceRejection first, ServiceRejection second) {
        return new ServiceRejection(
                first.service(),
                Math.max(first.ratio(), second.ratio()),
                Math.max(first.level(), second.level()),
                first.calls() + second.calls());
    }

    /**
     * Decides about a root request.
     *
     * @param operation an operation of this host's endpoint
     * @param rank rank of the request
     * @param nowMicros current time in microseconds
     * @return whether it is admitted
     */
    public Admission admit(OperationName operation, int rank, long nowMicros) {
        Outlook outlook = outlook(operation, nowMicros);
        if (outlook.success() >= MIN_SUCCESS) {
            return Admission.ADMITTED;
        }
        if (rank >= outlook.level()) {
            return Admission.CHOSEN;
        }
        long sinceProbe = nowMicros - probes.getOrDefault(operation, Long.MIN_VALUE / 2);
        if (Math.min(outlook.ageMicros(), sinceProbe) > FRESH_MICROS) {
            probes.put(operation, nowMicros);
            return Admission.ADMITTED;
        }
        return Admission.REFUSED;
    }
}
