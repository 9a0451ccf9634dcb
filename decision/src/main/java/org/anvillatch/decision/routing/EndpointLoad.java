package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.decision.admission.DecayingLevel;
import org.anvillatch.decision.model.OperationName;

/**
 * What one sender knows about the load of one endpoint. Its own calls in flight are certain; what answers report is
 * used only while fresh. Not thread safe: owned by the host's decision loop.
 *
 * <p>Invariant: {@code inFlight >= 0}.
 */
final class EndpointLoad {
    private static final long REPORT_FRESH_MICROS = 200_000;
    private static final int FAILURES_TO_EJECT = 2;
    private static final long FIRST_EJECTION_MICROS = 500_000;
    private static final long LONGEST_EJECTION_MICROS = 10_000_000;
    /** Time for which the word of a leaving host counts, in microseconds: gossip takes no longer. */
    private static final long LEAVING_MICROS = 1_000_000;

    private static final double LATENCY_WEIGHT = 0.1;

    private final Map<OperationName, DecayingLevel> levels = new HashMap<>();
    private int inFlight;
    private int reportedBusy;
    private long reportedMicros = -REPORT_FRESH_MICROS;
    private double latencyMicros = 1_000;
    private int failures;
    private long ejectedUntilMicros;

    void sent() {
        inFlight++;
    }

    void answered(LoadFeedback report, long nowMicros) {
        inFlight = Math.max(0, inFlight - 1);
        failures = 0;
        reportedBusy = report.busy();
        reportedMicros = nowMicros;
        levels.put(report.operation(), new DecayingLevel(report.level(), nowMicros));
        if (report.durationMicros() > 0) {
            latencyMicros += (report.durationMicros() - latencyMicros) * LATENCY_WEIGHT;
        }
    }

    void leaving(long nowMicros) {
        ejectedUntilMicros = Math.max(ejectedUntilMicros, nowMicros + LEAVING_MICROS);
    }

    void failed(long nowMicros) {
        inFlight = Math.max(0, inFlight - 1);
        failures++;
        if (failures >= FAILURES_TO_EJECT) {
            long pause = FIRST_EJECTION_MICROS << Math.min(failures - FAILURES_TO_EJECT, 5);
            ejectedUntilMicros = nowMicros + Math.min(pause, LONGEST_EJECTION_MICROS);
        }
    }

    boolean isEjected(long nowMicros) {
        return nowMicros < ejectedUntilMicros;
    }

    int level(OperationName operation, long nowMicros) {
        return levels.getOrDefault(operation, DecayingLevel.NONE).at(nowMicros);
    }

    /** What is told of the endpoint's usual time goes before what this sender has seen of it. */
    double cost(int slots, long toldMicros, long nowMicros) {
        return utilization(slots, nowMicros) * (toldMicros > 0 ? toldMicros : latencyMicros);
    }

    /** Part of the slots that would be busy with one call more. */
    double utilization(int slots, long nowMicros) {
        int reported = nowMicros - reportedMicros < REPORT_FRESH_MICROS ? reportedBusy : 0;
        return (Math.max(inFlight, reported) + 1.0) / Math.max(1, slots);
    }
}
