package org.anvillatch.node.decisionlog;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** The volume of decision lines under load. */
class LineSamplerTest {
    private final LineSampler sampler = new LineSampler();

    private static Decision decision(long atMillis, String request, String result) {
        return new Decision(atMillis, "node", Decision.Kind.ANSWER, request, 0, "s/o", 1, "host", result, "", 0, 0);
    }

    private int keptOf(long secondsFrom, int lines, String result) {
        int kept = 0;
        for (int line = 0; line < lines; line++) {
            kept += sampler.keeps(decision(secondsFrom * 1_000 + line * 1_000L / lines, "r" + line, result)) ? 1 : 0;
        }
        return kept;
    }

    @Test
    void everythingIsKeptAtALowRate() {
        keptOf(0, 50, "complete/200");
        assertThat(keptOf(1, 50, "complete/200")).isEqualTo(50);
    }

    @Test
    void routineLinesAreBoundedUnderLoadAndFailuresAreKept() {
        keptOf(0, 4_000, "complete/200");
        assertThat(keptOf(1, 4_000, "complete/200")).isLessThan(3 * LineSampler.FULL_RATE);
        assertThat(keptOf(2, 1_000, "unknown/0")).isEqualTo(1_000);
    }

    @Test
    void allLinesOfARequestAreKeptOrNone() {
        keptOf(0, 4_000, "complete/200");
        Set<String> kept = new HashSet<>();
        for (int line = 0; line < 500; line++) {
            if (sampler.keeps(decision(1_000 + line, "r" + line, "chosen"))) {
                kept.add("r" + line);
            }
        }
        for (int line = 0; line < 500; line++) {
            boolean again = sampler.keeps(decision(1_500, "r" + line, "start"));
            assertThat(again).isEqualTo(kept.contains("r" + line));
        }
    }
}
