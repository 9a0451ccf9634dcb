package org.anvillatch.decision.routing;

import org.anvillatch.decision.model.OperationName;

/**
 * Load that an endpoint's host reports on an answer. Immutable and thread safe.
 *
 * @param operation the operation that was called
 * @param level lowest rank admitted for the operation
 * @param busy executions that run or wait
 * @param durationMicros how long the execution took, 0 if it did not run
 */
public record LoadFeedback(OperationName operation, int level, int busy, long durationMicros) {}
