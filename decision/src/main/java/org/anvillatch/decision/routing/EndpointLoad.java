package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.decision.admission.DecayingLevel;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.ServiceTimeReport;

/**
 * Load of one endpoint as seen by one sender. The sender knows its own calls in flight exactly; the load reported with
 * answers is used only while it is fresh. Not thread safe: owned by the host's decision loop.
 *
 * <p>Invariant: {@code inFlight >= 0}.
 */
final class EndpointLoad {
    private static final long REPORT_FRESH_MICROS = 200_000;
    private static final int FAILURES_TO_EJECT = 2;
    private static final long BASE_EJECTION_MICROS = 500_000;
    private static final long MAX_EJECTION_MICROS = 10_000_000;
    /** Ejection time of a host that answered that it accepts no new work; long enough for gossip to spread this. */
    private static final long LEAVING_EJECTION_MICROS = 1_000_000;

    private static final double LATENCY_EWMA_WEIGHT = 0.1;

    /**
     * Time for which a reported pace is used, in microseconds. A machine keeps its pace for some hundred milliseconds, as
     * the processes that share it come and go.
     */
    private static final long PACE_FRESH_MICROS = 500_000;

    private final Map<OperationName, DecayingLevel> levels = new HashMap<>();
    private final Map<OperationName, ServiceTimeReport> serviceTimes = new HashMap<>();
    private int pacePercent;
    private long paceMicros;
    private int inFlight;
    private int reportedInFlight;
    private long reportedMicros = -REPORT_FRESH_MICROS;

    /** Mean duration of calls to the endpoint, 0 before the first answer. */
    private double latencyMicros;

    private int consecutiveFailures;
    private long ejectedUntilMicros;

    void recordSent() {
        inFlight++;
    }

    void recordAnswer(LoadFeedback feedback, long nowMicros) {
        inFlight = Math.max(0, inFlight - 1);
        consecutiveFailures = 0;
        reportedInFlight = feedback.inFlight();
        reportedMicros = nowMicros;
        levels.put(feedback.operation(), new DecayingLevel(feedback.level(), nowMicros));
        if (feedback.serviceTime() != null) {
            serviceTimes.put(feedback.operation(), feedback.serviceTime());
            pacePercent = feedback.serviceTime().pacePercent();
            paceMicros = nowMicros;
        }
        if (feedback.durationMicros() > 0) {
            double weight = latencyMicros == 0 ? 1 : LATENCY_EWMA_WEIGHT;
            latencyMicros += (feedback.durationMicros() - latencyMicros) * weight;
        }
    }

    void recordLeaving(long nowMicros) {
        ejectedUntilMicros = Math.max(ejectedUntilMicros, nowMicros + LEAVING_EJECTION_MICROS);
    }

    void recordFailure(long nowMicros) {
        inFlight = Math.max(0, inFlight - 1);
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_TO_EJECT) {
            long ejectionMicros = BASE_EJECTION_MICROS << Math.min(consecutiveFailures - FAILURES_TO_EJECT, 5);
            ejectedUntilMicros = nowMicros + Math.min(ejectionMicros, MAX_EJECTION_MICROS);
        }
    }

    void recordAbandoned() {
        inFlight = Math.max(0, inFlight - 1);
    }

    boolean isEjected(long nowMicros) {
        return nowMicros < ejectedUntilMicros;
    }

    int level(OperationName operation, long nowMicros) {
        return levels.getOrDefault(operation, DecayingLevel.NONE).at(nowMicros);
    }

    /** Returns the reported service time of an operation at the current pace in microseconds, 0 if none was reported. */
    long serviceMicros(OperationName operation, long nowMicros) {
        ServiceTimeReport report = serviceTimes.get(operation);
        if (report == null) {
            return 0;
        }
        boolean fresh = nowMicros - paceMicros < PACE_FRESH_MICROS;
        return Math.max(1, report.microsAt(fresh ? pacePercent : ServiceTimeReport.USUAL_PACE_PERCENT));
    }

    /**
     * Returns the service time; an advertised one takes precedence over this sender's estimate.
     *
     * @return microseconds, or 0 if the endpoint has not answered yet
     */
    double serviceTimeMicros(long advertisedMicros) {
        return advertisedMicros > 0 ? advertisedMicros : latencyMicros;
    }

    /** Returns the ratio of calls to slots with one more call; it exceeds 1 if calls would be queued. */
    double utilization(int slots, long nowMicros) {
        int reported = nowMicros - reportedMicros < REPORT_FRESH_MICROS ? reportedInFlight : 0;
        return (Math.max(inFlight, reported) + 1.0) / Math.max(1, slots);
    }
}
