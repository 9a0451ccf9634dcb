package org.anvillatch.decision.routing;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.ServiceTimeReport;

/**
 * Load of an endpoint, reported by its host with an answer. Immutable and thread safe.
 *
 * @param operation the operation that was called
 * @param level shed level of the operation: the lowest rank that is admitted
 * @param inFlight number of running and queued executions
 * @param durationMicros duration of the execution in microseconds, 0 if it did not complete
 * @param notice restriction that the endpoint names, null if it names none
 * @param serviceTime service time of the operation at the endpoint, null if its host reports none
 */
public record LoadFeedback(
        OperationName operation,
        int level,
        int inFlight,
        long durationMicros,
        EndpointNotice notice,
        ServiceTimeReport serviceTime) {
    /**
     * Creates the feedback of a host that reports no service time.
     *
     * @param operation the operation that was called
     * @param level shed level of the operation: the lowest rank that is admitted
     * @param inFlight number of running and queued executions
     * @param durationMicros duration of the execution in microseconds, 0 if it did not complete
     * @param notice restriction that the endpoint names, null if it names none
     */
    public LoadFeedback(OperationName operation, int level, int inFlight, long durationMicros, EndpointNotice notice) {
        this(operation, level, inFlight, durationMicros, notice, null);
    }
}
