package org.anvillatch.decision.routing;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;

/**
 * Load of an endpoint, reported by its host with an answer. Immutable and thread safe.
 *
 * @param operation the operation that was called
 * @param level shed level of the operation: the lowest rank that is admitted
 * @param inFlight number of running and queued executions
 * @param durationMicros duration of the execution in microseconds, 0 if it did not complete
 * @param notice restriction that the endpoint names, null if it names none
 */
public record LoadFeedback(
        OperationName operation, int level, int inFlight, long durationMicros, EndpointNotice notice) {}
