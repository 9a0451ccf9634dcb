package org.anvillatch.decision.admission;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.ReportedLoad;
import org.anvillatch.decision.model.ServiceTimeReport;

/**
 * Mean service times of one endpoint by operation, at the usual pace of its machine. A mean over all operations would
 * make an endpoint look slow that happens to run more of the long ones.
 *
 * <p>Each sample is divided by the pace that the endpoint reports, and the estimate is multiplied by the pace that it
 * reports later, so a constant error of the reported pace cancels out. Not thread safe: owned by the host's decision
 * loop.
 */
final class OperationServiceTimes {
    /** Limits of the reported pace that are believed, in percent: machines are shared by a few processes. */
    private static final int MIN_PACE_PERCENT = 25;

    private static final int MAX_PACE_PERCENT = 1_000;

    /** Weight of one execution: averages about 40 executions, as in {@link ServiceTimeEstimator}. */
    private static final double EWMA_WEIGHT = 0.05;

    private final Map<OperationName, Mean> means = new HashMap<>();
    private int pacePercent;

    private static final class Mean {
        private int samples;
        private double micros;

        private void add(double sampleMicros) {
            samples++;
            micros += (sampleMicros - micros) * Math.max(EWMA_WEIGHT, 1.0 / samples);
        }
    }

    /**
     * Records the load that the endpoint reports.
     *
     * @param load the load, null if the endpoint reports none
     */
    void recordLoad(ReportedLoad load) {
        if (load != null && load.hasPace()) {
            pacePercent = Math.max(MIN_PACE_PERCENT, Math.min(MAX_PACE_PERCENT, load.pacePercent()));
        }
    }

    /**
     * Adds the service time of a successful execution. Ignored while the endpoint has not reported the pace of its
     * machine.
     *
     * @param operation the operation that ran
     * @param micros service time in microseconds
     */
    void addSample(OperationName operation, long micros) {
        if (pacePercent > 0) {
            means.computeIfAbsent(operation, name -> new Mean())
                    .add((double) micros * ServiceTimeReport.USUAL_PACE_PERCENT / pacePercent);
        }
    }

    /**
     * Returns the service time of an operation.
     *
     * @param operation the operation
     * @return the service time, null while it or the pace of the machine is not known
     */
    ServiceTimeReport report(OperationName operation) {
        Mean mean = means.get(operation);
        return mean == null ? null : new ServiceTimeReport(Math.max(1, (long) mean.micros), pacePercent);
    }
}
