package org.anvillatch.node.decisionlog;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests that the number of decision lines stays limited under load. */
class LineSamplerTest {
    private final LineSampler sampler = new LineSampler();

    private static Decision decision(long atMillis, String request, String result) {
        return new Decision(atMillis, "node", Decision.Kind.ANSWER, request, 0, "s/o", 1, "host", result, "", 0, 0, "");
    }

    private int countWritten(long startSecond, int lines, String result) {
        int written = 0;
        for (int line = 0; line < lines; line++) {
            written += sampler.shouldWrite(decision(startSecond * 1_000 + line * 1_000L / lines, "r" + line, result))
                    ? 1
                    : 0;
        }
        return written;
    }

    @Test
    void everyLineIsWrittenAtALowRate() {
        countWritten(0, 50, "complete/200");
        assertThat(countWritten(1, 50, "complete/200")).isEqualTo(50);
    }

    @Test
    void routineLinesAreLimitedUnderLoadAndFailuresAreAllWritten() {
        countWritten(0, 4_000, "complete/200");
        assertThat(countWritten(1, 4_000, "complete/200")).isLessThan(3 * LineSampler.MAX_UNSAMPLED_LINES_PER_SECOND);
        assertThat(countWritten(2, 1_000, "unknown/0")).isEqualTo(1_000);
    }

    @Test
    void allLinesOfARequestAreWrittenOrNone() {
        countWritten(0, 4_000, "complete/200");
        Set<String> written = new HashSet<>();
        for (int line = 0; line < 500; line++) {
            if (sampler.shouldWrite(decision(1_000 + line, "r" + line, "chosen"))) {
                written.add("r" + line);
            }
        }
        for (int line = 0; line < 500; line++) {
            boolean writtenLater = sampler.shouldWrite(decision(1_500, "r" + line, "start"));
            assertThat(writtenLater).isEqualTo(written.contains("r" + line));
        }
    }
}
