package org.anvillatch.node.call;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.decisionlog.DecisionLog;

/**
 * Writes this host's decisions about calls to the decision log. Thread safe.
 */
public final class CallDecisionRecorder {
    private final DecisionLog log;
    private final String node;

    /**
     * Details of a decision about a call. Immutable and thread safe.
     *
     * @param candidate name of the host that was considered, may be empty
     * @param result outcome of the call or the choice that was made
     * @param reason reason for the result, may be empty
     * @param level shed level that was applied
     * @param retriesLeft retries that the call has left
     */
    public record DecisionDetails(String candidate, String result, String reason, int level, int retriesLeft) {}

    /**
     * Creates a recorder.
     *
     * @param log log to write to
     * @param node name of this host
     */
    public CallDecisionRecorder(DecisionLog log, String node) {
        this.log = log;
        this.node = node;
    }

    /**
     * Records a decision.
     *
     * @param kind kind of decision
     * @param context identity of the call
     * @param operation called operation
     * @param details details of the decision
     */
    public void record(Decision.Kind kind, CallContext context, OperationName operation, DecisionDetails details) {
        log.record(new Decision(
                System.currentTimeMillis(),
                node,
                kind,
                context.root(),
                context.attempt(),
                operation.toString(),
                Rank.importance(context.rank()),
                details.candidate(),
                details.result(),
                details.reason(),
                details.level(),
                details.retriesLeft(),
                context.team()));
    }
}
