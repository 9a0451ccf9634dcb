package org.anvillatch.decision.admission;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: endpoints of one service differ in speed, and execution times are random. */
class ServiceTimeEstimatorTest {
    private static final int EXECUTIONS = 2_000;

    private final SplittableRandom random = new SplittableRandom(3);
    private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();

    /** Simulates executions of exponentially distributed time and returns how often the advertised time changed. */
    private int simulate(double meanMicros) {
        int changes = 0;
        for (int execution = 0; execution < EXECUTIONS; execution++) {
            long before = estimator.micros();
            estimator.addSample((long) (-Math.log(1 - random.nextDouble()) * meanMicros));
            changes += estimator.micros() == before ? 0 : 1;
        }
        return changes;
    }

    @Test
    void nothingIsAdvertisedAfterFewExecutions() {
        for (int execution = 1; execution < ServiceTimeEstimator.MIN_EXECUTIONS; execution++) {
            estimator.addSample(50_000);
        }
        assertThat(estimator.micros()).isEqualTo(0);
    }

    @Test
    void advertisedTimeFollowsTheMeanAndSeldomChanges() {
        int changes = simulate(42_000);
        assertThat((double) estimator.micros()).isWithin(42_000 * 0.5).of(42_000);
        assertThat(changes).isAtMost(EXECUTIONS / 20);
        simulate(96_000);
        assertThat((double) estimator.micros()).isWithin(96_000 * 0.5).of(96_000);
    }
}
