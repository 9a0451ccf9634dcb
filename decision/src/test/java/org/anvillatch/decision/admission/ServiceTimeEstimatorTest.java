package org.anvillatch.decision.admission;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: endpoints of one service that differ in speed, under work of random length. */
class ServiceTimeEstimatorTest {
    private static final int EXECUTIONS = 2_000;

    private final SplittableRandom random = new SplittableRandom(3);
    private final ServiceTimeEstimator time = new ServiceTimeEstimator();

    /** Plays executions of exponential length and returns how often what is told changed. */
    private int play(double meanMicros) {
        int changes = 0;
        for (int execution = 0; execution < EXECUTIONS; execution++) {
            long before = time.micros();
            time.ended((long) (-Math.log(1 - random.nextDouble()) * meanMicros));
            changes += time.micros() == before ? 0 : 1;
        }
        return changes;
    }

    @Test
    void nothingIsToldOfFewExecutions() {
        for (int execution = 1; execution < ServiceTimeEstimator.LEAST_EXECUTIONS; execution++) {
            time.ended(50_000);
        }
        assertThat(time.micros()).isEqualTo(0);
    }

    @Test
    void toldTimeFollowsTheMeanAndSeldomChanges() {
        int changes = play(42_000);
        assertThat((double) time.micros()).isWithin(42_000 * 0.5).of(42_000);
        assertThat(changes).isAtMost(EXECUTIONS / 20);
        play(96_000);
        assertThat((double) time.micros()).isWithin(96_000 * 0.5).of(96_000);
    }
}
