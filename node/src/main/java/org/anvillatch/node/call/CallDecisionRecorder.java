package org.anvillatch.node.call;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.decisionlog.DecisionLog;

/**
 * Records decisions about calls of one host. Thread safe.
 */
public final class CallDecisionRecorder {
    private final DecisionLog log;
    private final String node;

    /**
     * What was decided about a call. Immutable and thread safe.
     *
     * @param candidate host that was considered, may be empty
     * @param result outcome or choice
     * @param reason why, may be empty
     * @param level shed level that was applied
     * @param retriesLeft retries left to the call
     */
    public record DecisionDetails(String candidate, String result, String reason, int level, int retriesLeft) {}

    /**
     * Creates the recorder of a host.
     *
     * @param log receives every decision
     * @param node name of the host
     */
    public CallDecisionRecorder(DecisionLog log, String node) {
        this.log = log;
        this.node = node;
    }

    /**
     * Records a decision.
     *
     * @param kind what was decided
     * @param context identity of the call
     * @param operation the operation that is called
     * @param choice the decision
     */
    public void record(Decision.Kind kind, CallContext context, OperationName operation, DecisionDetails choice) {
        log.record(new Decision(
                System.currentTimeMillis(),
                node,
                kind,
                context.root(),
                context.attempt(),
                operation.toString(),
                Rank.importance(context.rank()),
                choice.candidate(),
                choice.result(),
                choice.reason(),
                choice.level(),
                choice.retriesLeft()));
    }
}
