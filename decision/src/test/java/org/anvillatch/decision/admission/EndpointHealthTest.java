package org.anvillatch.decision.admission;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: an endpoint whose health check is good fails a part of its work (grey failure). */
class EndpointHealthTest {
    private static final long SECOND = 1_000_000;
    private static final int EXECUTIONS_PER_SECOND = 200;

    private final EndpointHealth health = new EndpointHealth();
    private final SplittableRandom random = new SplittableRandom(7);

    /** Plays executions at an even rate and returns the time at which the endpoint was first taken for failing, or -1. */
    private long play(long fromMicros, long untilMicros, double faultShare) {
        long failing = -1;
        for (long now = fromMicros; now < untilMicros; now += SECOND / EXECUTIONS_PER_SECOND) {
            health.ended(random.nextDouble() < faultShare, now);
            if (failing < 0 && health.isFailing(now)) {
                failing = now;
            }
        }
        return failing;
    }

    @Test
    void failingEndpointIsFoundWithinThreeTenthsOfASecond() {
        assertThat(play(0, 5 * SECOND, 0)).isEqualTo(-1);
        long found = play(5 * SECOND, 6 * SECOND, 0.4);
        assertThat(found).isAtLeast(5 * SECOND);
        assertThat(found).isAtMost(5 * SECOND + 300_000);
    }

    @Test
    void fewFaultsAmongManyExecutionsAreTolerated() {
        assertThat(play(0, 30 * SECOND, 0.03)).isEqualTo(-1);
    }

    @Test
    void singleFaultOfAQuietEndpointProvesNothing() {
        health.ended(true, 0);
        assertThat(health.isFailing(1)).isFalse();
        health.ended(true, 10 * SECOND);
        assertThat(health.isFailing(10 * SECOND + 1)).isFalse();
    }

    @Test
    void endpointThatGetsNoWorkIsTriedAgain() {
        long found = play(0, SECOND, 1);
        assertThat(found).isAtLeast(0);
        assertThat(health.isFailing(found + SECOND - 1)).isTrue();
        assertThat(health.isFailing(2 * SECOND + EndpointHealth.LONGEST_REST_MICROS))
                .isFalse();
    }

    @Test
    void relapseLengthensTheRestUpToItsBound() {
        long now = 0;
        long rest = 0;
        for (int relapse = 0; relapse < 6; relapse++) {
            while (!health.isFailing(now)) {
                health.ended(true, now);
            }
            long begin = now;
            while (health.isFailing(now)) {
                now += 1_000;
            }
            assertThat(now - begin).isAtLeast(rest);
            assertThat(now - begin).isAtMost(EndpointHealth.LONGEST_REST_MICROS);
            rest = now - begin;
        }
        assertThat(rest).isEqualTo(EndpointHealth.LONGEST_REST_MICROS);
    }
}
