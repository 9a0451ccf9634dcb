package org.anvillatch.decision.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.anvillatch.decision.model.OperationName;

/**
 * Shed levels that the calls made by this host's endpoint have met. Levels are kept for each called operation and
 * applied to every operation that was seen to call it, so that answers to important calls keep lesser ones refused.
 *
 * <p>Invariant: an operation that makes no calls has level 0. Not thread safe: owned by the host's decision loop.
 */
final class DownstreamLevels {
    private static final double WEIGHT = 0.2;

    private final Map<OperationName, Set<OperationName>> calls = new HashMap<>();
    private final Map<OperationName, DecayingLevel> levels = new HashMap<>();

    void heard(OperationName caller, OperationName called, int level, long nowMicros) {
        calls.computeIfAbsent(caller, name -> new HashSet<>()).add(called);
        levels.merge(
                called,
                new DecayingLevel(level, nowMicros),
                (known, first) -> known.averagedWith(level, WEIGHT, nowMicros));
    }

    int level(OperationName caller, long nowMicros) {
        int highest = 0;
        for (OperationName called : calls.getOrDefault(caller, Set.of())) {
            highest = Math.max(highest, levels.get(called).at(nowMicros));
        }
        return highest;
    }
}
