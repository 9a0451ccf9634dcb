package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;

/**
 * A request on whose admission a gatekeeper decides. Immutable and thread safe.
 *
 * @param execution identity of the dispatch
 * @param operation the operation
 * @param rank order of refusal; the highest rank is refused last
 * @param deadlineMicros time after which the answer is no longer wanted, in microseconds
 * @param nested whether the request is a nested call of another request that already runs
 */
public record Work(long execution, OperationName operation, int rank, long deadlineMicros, boolean nested) {
    /**
     * Creates work for a root request.
     *
     * @param execution identity of the dispatch
     * @param operation the operation
     * @param rank order of refusal; the highest rank is refused last
     * @param deadlineMicros time after which the answer is no longer wanted, in microseconds
     */
    public Work(long execution, OperationName operation, int rank, long deadlineMicros) {
        this(execution, operation, rank, deadlineMicros, false);
    }
}
