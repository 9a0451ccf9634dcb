package org.anvillatch.node.call;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallRouterTest {
    private final DecisionLoop loop = new DecisionLoop();
    private final HostState state = TestHostStates.create(new Member(
            new HostIdentity("desk-1", 7), 0, "", "d", "desk", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0));
    private final MetricRegistry metrics = new MetricRegistry();
    private final CallRouter router = new CallRouter(
            loop,
            state,
            null,
            null,
            new CallDecisionRecorder(new DecisionLog(DecisionLog.Format.TEXT, metrics), "desk-1"),
            metrics,
            () -> {
                throw new OutOfMemoryError("test");
            });

    /** Guards against a count of open calls that stays above 0 for good, so that a planned stop waits for nothing. */
    @Test
    void errorWhileACallIsRoutedRestoresTheCount() {
        Call call = new Call(
                new CallContext("r", 0, "r", 0, false, ""),
                new OperationName("desk", "read"),
                new OperationPolicy("", true, 1_000),
                CallBody.EMPTY,
                "",
                "",
                loop.nowMicros() + 1_000_000,
                1,
                1,
                null);
        List<CallAnswer> answers = new ArrayList<>();
        assertThrows(OutOfMemoryError.class, () -> router.route(call, answers::add));
        assertThat(router.inFlight()).isEqualTo(0);
        assertThat(answers).isEmpty();
    }
}
