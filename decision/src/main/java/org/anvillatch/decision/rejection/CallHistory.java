package org.anvillatch.decision.rejection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.anvillatch.decision.model.OperationName;

/**
 * Mean number of calls of each operation that a complete execution of an operation makes. Executions that failed are left
 * out, since they end at their first failed call.
 *
 * <p>Invariant: all means are greater than 0. Not thread safe: owned by the host's decision loop.
 */
final class CallHistory {
    private static final double EWMA_WEIGHT = 0.05;

    /** Mean below which a called operation is forgotten. */
    private static final double MIN_CALLS = 0.001;

    private final Map<OperationName, Map<OperationName, Double>> calls = new HashMap<>();

    /**
     * Records a complete execution.
     *
     * @param operation the operation that ran
     * @param made number of calls that it made, by called operation
     */
    void record(OperationName operation, Map<OperationName, Integer> made) {
        Map<OperationName, Double> means = calls.get(operation);
        if (means == null && made.isEmpty()) {
            return;
        }
        double weight = means == null ? 1 : EWMA_WEIGHT;
        Map<OperationName, Double> before = means == null ? Map.of() : means;
        Set<OperationName> called = new HashSet<>(before.keySet());
        called.addAll(made.keySet());
        Map<OperationName, Double> next = new HashMap<>();
        for (OperationName name : called) {
            double mean = before.getOrDefault(name, 0.0);
            double updated = mean + (made.getOrDefault(name, 0) - mean) * weight;
            if (updated >= MIN_CALLS) {
                next.put(name, updated);
            }
        }
        calls.put(operation, next);
    }

    /**
     * Returns the calls of an operation.
     *
     * @param operation the operation
     * @return mean number of calls in an execution, by called operation
     */
    Map<OperationName, Double> callsOf(OperationName operation) {
        return calls.getOrDefault(operation, Map.of());
    }
}
