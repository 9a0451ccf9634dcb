package org.anvillatch.decision.routing;

import org.anvillatch.decision.routing.UnevenEndpointsModel.Result;
import org.anvillatch.decision.routing.UnevenEndpointsModel.Strategy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: two operations of different length at endpoints of different speed, whose machines are slowed down 2.5
 * times for 0.6 s at a time.
 */
class UnevenEndpointsTest {
    /**
     * Guards against calls that leave their failure domain because the endpoints there run more of the longer operation
     * and therefore look slow. Callers must not wait longer for the bytes that are saved.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void reportedServiceTimesKeepCallsInTheirDomainWithoutLongerLatency(long seed) {
        Result advertised = new UnevenEndpointsModel(Strategy.ADVERTISED, seed).run();
        Result reported = new UnevenEndpointsModel(Strategy.REPORTED, seed).run();
        assertThat(reported.crossDomainShare()).isLessThan(advertised.crossDomainShare());
        assertThat(reported.p50Micros()).isAtMost(advertised.p50Micros());
        assertThat(reported.p99Micros()).isAtMost(advertised.p99Micros());
        assertThat(reported.refusedShare()).isAtMost(advertised.refusedShare());
    }
}
