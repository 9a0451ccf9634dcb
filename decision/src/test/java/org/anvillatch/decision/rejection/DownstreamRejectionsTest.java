package org.anvillatch.decision.rejection;

import java.util.List;
import java.util.Map;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.rejection.DownstreamRejections.Admission;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DownstreamRejectionsTest {
    private static final OperationName LIST = new OperationName("catalogue", "list");
    private static final OperationName PAGE = new OperationName("catalogue", "page");
    private static final OperationName MAP = new OperationName("glossary", "map");
    private static final ServiceRejection REPORT = new ServiceRejection("glossary", 0.4, 1_500, 1);
    private static final int ENDPOINTS = 11;
    private static final long NOW = 5_000_000;

    private final DownstreamRejections middle = new DownstreamRejections();
    private final DownstreamRejections front = new DownstreamRejections();

    private static void report(DownstreamRejections host, OperationName called, List<ServiceRejection> reported) {
        for (int answer = 0; answer < 100; answer++) {
            host.recordReport(called, reported, NOW);
        }
    }

    /** Guards against root requests that are admitted because the rejecting service is two hops away. */
    @Test
    void needsOfDeepTreesAreMultipliedUpTheTree() {
        middle.recordExecution(LIST, Map.of(MAP, 4));
        report(middle, MAP, List.of(REPORT));
        OperationName home = new OperationName("front", "home");
        front.recordExecution(home, Map.of(LIST, 2));
        report(front, LIST, middle.outlook(LIST, NOW).rejections());
        ServiceRejection known = front.outlook(home, NOW).rejections().get(0);
        assertThat(known.service()).isEqualTo("glossary");
        assertThat(known.ratio()).isWithin(0.01).of(0.4);
        assertThat(known.calls()).isWithin(0.01).of(8);
        assertThat(front.admit(home, 1_500, NOW)).isEqualTo(Admission.CHOSEN);
        assertThat(front.admit(home, 1_499, NOW)).isEqualTo(Admission.REFUSED);
    }

    /** Guards against refusals of requests that probably complete without a retry and add to the retry bound. */
    @Test
    void requestThatNeedsOneCallIsAdmitted() {
        middle.recordExecution(PAGE, Map.of(MAP, 1));
        report(middle, MAP, List.of(REPORT));
        assertThat(middle.admit(PAGE, 0, NOW)).isEqualTo(Admission.ADMITTED);
    }

    /** Guards against refusals because of a single failing endpoint of several, which is avoided anyway. */
    @Test
    void oneRejectingEndpointOfSeveralRefusesNothing() {
        middle.recordExecution(LIST, Map.of(MAP, 4));
        for (int answer = 0; answer < 10 * ENDPOINTS; answer++) {
            long now = NOW + answer * 10_000L;
            middle.recordReport(MAP, answer % ENDPOINTS == 0 ? List.of(REPORT) : List.of(), now);
            assertThat(middle.admit(LIST, 0, now)).isEqualTo(Admission.ADMITTED);
        }
    }

    /** Guards against refusals that sustain themselves: requests that are refused make no calls that would end them. */
    @Test
    void reportThatIsNotRenewedAdmitsAProbeAndIsThenForgotten() {
        middle.recordExecution(LIST, Map.of(MAP, 4));
        report(middle, MAP, List.of(REPORT));
        long stale = NOW + DownstreamRejections.FRESH_MICROS + 1;
        assertThat(middle.admit(LIST, 0, stale - 1)).isEqualTo(Admission.REFUSED);
        assertThat(middle.admit(LIST, 0, stale)).isEqualTo(Admission.ADMITTED);
        assertThat(middle.admit(LIST, 0, stale)).isEqualTo(Admission.REFUSED);
        long old = NOW + DownstreamRejections.MAX_AGE_MICROS + 1;
        assertThat(middle.admit(LIST, 0, old)).isEqualTo(Admission.ADMITTED);
        assertThat(middle.admit(LIST, 0, old)).isEqualTo(Admission.ADMITTED);
    }
}
