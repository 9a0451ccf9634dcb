package org.anvillatch.node.call;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.decision.model.OperationName;

/**
 * Progress of an execution's nested calls, by which retries are granted while a called service rejects requests.
 *
 * <p>Invariant: a call tree that was chosen stays chosen. Owned by the decision loop.
 */
final class TreeProgress {
    private final Map<OperationName, Integer> callsMade = new HashMap<>();
    private int completedCalls;
    private boolean chosen;

    /** Records the answer of a nested call. */
    void recordCall(OperationName called, boolean complete) {
        callsMade.merge(called, 1, Integer::sum);
        completedCalls += complete ? 1 : 0;
    }

    /** Records that the tree was chosen: its rejected calls are retried until it completes. */
    void choose() {
        chosen = true;
    }

    boolean isChosen() {
        return chosen;
    }

    int completedCalls() {
        return completedCalls;
    }

    Map<OperationName, Integer> callsMade() {
        return callsMade;
    }
}
