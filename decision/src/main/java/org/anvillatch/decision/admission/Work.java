package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;

/**
 * A request that a gatekeeper decides on. Immutable and thread safe.
 *
 * @param execution identity of the dispatch
 * @param operation the operation
 * @param rank order of refusal, the highest is refused last
 * @param deadlineMicros time after which nobody waits
 * @param nested whether the request serves another one that has begun to run
 */
public record Work(long execution, OperationName operation, int rank, long deadlineMicros, boolean nested) {
    /**
     * Creates work that serves no other work.
     *
     * @param execution identity of the dispatch
     * @param operation the operation
     * @param rank order of refusal
     * @param deadlineMicros time after which nobody waits
     */
    public Work(long execution, OperationName operation, int rank, long deadlineMicros) {
        this(execution, operation, rank, deadlineMicros, false);
    }
}
