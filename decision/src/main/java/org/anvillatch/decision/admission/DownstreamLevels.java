package org.anvillatch.decision.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.anvillatch.decision.model.OperationName;

/**
 * Shed levels that were reported for the nested calls of this host's endpoint. A level is kept for each called
 * operation and applied to every operation that has ever called it. Answers to nested calls of important operations
 * thus keep the level of less important operations up to date, whose requests are refused and so make no nested calls.
 *
 * <p>Invariant: an operation that has never made a nested call has level 0. Not thread safe: owned by the host's
 * decision loop.
 */
final class DownstreamLevels {
    private static final double EWMA_WEIGHT = 0.2;

    private final Map<OperationName, Set<OperationName>> calledOperations = new HashMap<>();
    private final Map<OperationName, DecayingLevel> levels = new HashMap<>();

    void record(OperationName caller, OperationName called, int level, long nowMicros) {
        calledOperations.computeIfAbsent(caller, name -> new HashSet<>()).add(called);
        levels.merge(
                called,
                new DecayingLevel(level, nowMicros),
                (known, reported) -> known.averagedWith(level, EWMA_WEIGHT, nowMicros));
    }

    int level(OperationName caller, long nowMicros) {
        int highest = 0;
        for (OperationName called : calledOperations.getOrDefault(caller, Set.of())) {
            highest = Math.max(highest, levels.get(called).at(nowMicros));
        }
        return highest;
    }
}
