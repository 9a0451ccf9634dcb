package org.anvillatch.decision.admission;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: an endpoint that passes its health check fails some of its work (gray failure). */
class EndpointHealthTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int EXECUTIONS_PER_SECOND = 200;

    private final EndpointHealth health = new EndpointHealth();
    private final SplittableRandom random = new SplittableRandom(7);

    /** Simulates executions at a constant rate and returns the time at which the endpoint was first failing, or -1. */
    private long simulate(long fromMicros, long untilMicros, double faultRatio) {
        long failingMicros = -1;
        for (long now = fromMicros; now < untilMicros; now += SECOND_MICROS / EXECUTIONS_PER_SECOND) {
            health.recordExecution(random.nextDouble() < faultRatio, now);
            if (failingMicros < 0 && health.isFailing(now)) {
                failingMicros = now;
            }
        }
        return failingMicros;
    }

    @Test
    void failingEndpointIsDetectedWithinThreeTenthsOfASecond() {
        assertThat(simulate(0, 5 * SECOND_MICROS, 0)).isEqualTo(-1);
        long detectedMicros = simulate(5 * SECOND_MICROS, 6 * SECOND_MICROS, 0.4);
        assertThat(detectedMicros).isAtLeast(5 * SECOND_MICROS);
        assertThat(detectedMicros).isAtMost(5 * SECOND_MICROS + 300_000);
    }

    @Test
    void fewFaultsAmongManyExecutionsAreTolerated() {
        assertThat(simulate(0, 30 * SECOND_MICROS, 0.03)).isEqualTo(-1);
    }

    @Test
    void singleFaultOfAnIdleEndpointIsTolerated() {
        health.recordExecution(true, 0);
        assertThat(health.isFailing(1)).isFalse();
        health.recordExecution(true, 10 * SECOND_MICROS);
        assertThat(health.isFailing(10 * SECOND_MICROS + 1)).isFalse();
    }

    @Test
    void endpointWithoutWorkIsConsideredHealthyAgain() {
        long detectedMicros = simulate(0, SECOND_MICROS, 1);
        assertThat(detectedMicros).isAtLeast(0);
        assertThat(health.isFailing(detectedMicros + SECOND_MICROS - 1)).isTrue();
        assertThat(health.isFailing(2 * SECOND_MICROS + EndpointHealth.MAX_EJECTION_MICROS))
                .isFalse();
    }

    @Test
    void relapseLengthensTheEjectionUpToItsMaximum() {
        long now = 0;
        long ejectionMicros = 0;
        for (int relapse = 0; relapse < 6; relapse++) {
            while (!health.isFailing(now)) {
                health.recordExecution(true, now);
            }
            long startMicros = now;
            while (health.isFailing(now)) {
                now += 1_000;
            }
            assertThat(now - startMicros).isAtLeast(ejectionMicros);
            assertThat(now - startMicros).isAtMost(EndpointHealth.MAX_EJECTION_MICROS);
            ejectionMicros = now - startMicros;
        }
        assertThat(ejectionMicros).isEqualTo(EndpointHealth.MAX_EJECTION_MICROS);
    }
}
