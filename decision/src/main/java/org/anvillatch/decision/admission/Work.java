package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;

/**
 * One request offered to a gatekeeper. Immutable and thread safe.
 *
 * @param execution identity of this dispatch, unique on the gatekeeper's host
 * @param operation the operation to run
 * @param rank order of refusal, see {@link org.anvillatch.decision.model.Rank}
 * @param deadlineMicros time after which nobody waits for the answer, on the host's clock
 */
public record Work(long execution, OperationName operation, int rank, long deadlineMicros) {}
