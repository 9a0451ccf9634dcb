package org.anvillatch.node.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.routing.RequestLimits;
import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.endpoint.EndpointAnnouncement;
import org.anvillatch.node.endpoint.EndpointTransport;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GatekeeperServiceTest {
    private static final HostIdentity SELF = new HostIdentity("desk-1", 7);
    private static final int SLOTS = 100;
    private static final EndpointAnnouncement FIRST =
            new EndpointAnnouncement("desk", "10.0.0.1:80", SLOTS, SLOTS, "i@1");
    private static final EndpointAnnouncement SECOND =
            new EndpointAnnouncement("desk", "10.0.0.1:80", SLOTS, SLOTS, "i@2");

    private final DecisionLoop loop = new DecisionLoop();
    private final HostState state =
            TestHostStates.create(new Member(SELF, 0, "", "d", "desk", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0));
    private final FakeTransport transport = new FakeTransport();
    private final MetricRegistry metrics = new MetricRegistry();
    private final GatekeeperService service = new GatekeeperService(
            loop,
            state,
            transport,
            new CallDecisionRecorder(new DecisionLog(DecisionLog.Format.TEXT, metrics), "desk-1"),
            metrics,
            CrashSignal.CONNECTION_REFUSED);
    private final List<CallAnswer> answers = new ArrayList<>();

    /** Keeps the listeners of all requests; the test completes them. */
    private static final class FakeTransport implements EndpointTransport {
        private final List<AnswerListener> sent = new ArrayList<>();

        @Override
        public void start() {}

        @Override
        public void stop() {}

        @Override
        public void setMaxConnections(int connections) {}

        @Override
        public Runnable send(
                EndpointAnnouncement endpoint,
                String executionName,
                DispatchMessage message,
                long remainingMicros,
                AnswerListener listener) {
            sent.add(listener);
            return () -> {};
        }

        private void answerFirst(EndpointTransport.ExchangeResult result, EndpointNotice notice) {
            sent.remove(0).completed(new EndpointAnswer(result, 200, List.of(), CallBody.EMPTY, "", notice));
        }
    }

    private void dispatch() {
        dispatch(null);
    }

    private void dispatch(EndpointNotice knownToSender) {
        dispatch(knownToSender, "", "");
    }

    private void dispatch(EndpointNotice knownToSender, String team, String keyId) {
        DispatchMessage message = new DispatchMessage(
                new CallContext("r" + answers.size(), 0, "r" + answers.size(), 0, false, "", team, keyId),
                new OperationName("desk", "read"),
                true,
                CallBody.EMPTY,
                "",
                10_000_000,
                0,
                null,
                knownToSender);
        service.dispatch(message, answers::add);
    }

    private void answerWith(EndpointNotice notice) {
        dispatch();
        transport.answerFirst(EndpointTransport.ExchangeResult.ANSWERED, notice);
        answers.clear();
    }

    private void assertRefuses(RefusalReason reason) {
        dispatch();
        assertThat(transport.sent).isEmpty();
        assertThat(answers.remove(0).reason()).isEqualTo(reason);
    }

    /** Guards against new work for an endpoint that says in its answers that it leaves (rule DRAIN, issue #26). */
    @Test
    void endpointThatLeavesAccordingToItsAnswerGetsNoNewWork() {
        List<String> changes = new ArrayList<>();
        service.endpointState().setListener(() -> changes.add("changed"));
        service.endpointState().announced(FIRST);
        answerWith(new EndpointNotice("i@1", Double.POSITIVE_INFINITY, true));
        assertRefuses(RefusalReason.DRAINING);
        assertThat(changes).hasSize(1);
        assertThat(state.membership().self().phase()).isEqualTo(EndpointPhase.LEAVING);
    }

    /** Guards against a leaving endpoint that returns to service because its connections failed in between. */
    @Test
    void failedConnectionDoesNotEndTheLeaving() {
        service.endpointState().announced(FIRST);
        dispatch();
        service.endpointState().leaving("i@1");
        transport.answerFirst(EndpointTransport.ExchangeResult.NOT_CONNECTED, null);
        answers.clear();
        service.endpointState().changePhase(EndpointPhase.SERVING);
        assertRefuses(RefusalReason.DRAINING);
    }

    /** Guards against a new process of the endpoint that stays without work. */
    @Test
    void lateNoticeOfAnEarlierProcessIsIgnored() {
        service.endpointState().announced(FIRST);
        dispatch();
        service.endpointState().leaving("i@1");
        service.endpointState().announced(SECOND);
        transport.answerFirst(EndpointTransport.ExchangeResult.ANSWERED, new EndpointNotice("i@1", 0, true));
        dispatch();
        dispatch();
        assertThat(transport.sent).hasSize(2);
    }

    /** Guards against a burst at an endpoint whose node was restarted and does not know its limit any more. */
    @Test
    void restartedNodeLearnsTheLimitFromItsSenders() {
        service.endpointState().announced(FIRST);
        for (int request = 0; request < 20; request++) {
            dispatch(new EndpointNotice("i@1", 10, false));
        }
        assertThat(transport.sent.size()).isAtMost(3);
    }

    /** Guards against a sender with an old restriction that limits an endpoint without need. */
    @Test
    void endpointKnowsItsLimitBetterThanSenders() {
        service.endpointState().announced(FIRST);
        answerWith(EndpointNotice.unrestricted("i@1"));
        for (int request = 0; request < 20; request++) {
            dispatch(new EndpointNotice("i@1", 10, false));
        }
        assertThat(transport.sent).hasSize(20);
    }

    @Test
    void restrictionOfAnEarlierProcessIsIgnored() {
        service.endpointState().announced(SECOND);
        for (int request = 0; request < 20; request++) {
            dispatch(new EndpointNotice("i@1", 0, true));
        }
        assertThat(transport.sent).hasSize(20);
    }

    /** Guards against new work for a leaving endpoint after its node, which knew of the leaving, was restarted. */
    @Test
    void restartedNodeLearnsFromSendersThatTheEndpointIsLeaving() {
        service.endpointState().announced(FIRST);
        answerWith(EndpointNotice.unrestricted("i@1"));
        dispatch(new EndpointNotice("i@1", Double.POSITIVE_INFINITY, true));
        assertThat(transport.sent).isEmpty();
        assertThat(answers.remove(0).report().notice().leaving()).isTrue();
    }

    /** Guards against a heartbeat that puts the endpoint of a stopping node back into service (incident inc-0e98). */
    @Test
    void endpointOfAStoppingNodeDoesNotReturn() {
        service.endpointState().announced(FIRST);
        service.endpointState().stopAdmission();
        service.endpointState().announced(FIRST);
        assertRefuses(RefusalReason.DRAINING);
        service.endpointState().announced(SECOND);
        assertRefuses(RefusalReason.DRAINING);
    }

    private void applyTeams(long version, Team... teams) {
        state.routes()
                .updateIfNewer(
                        new RouteTable(version, List.of(), Map.of(), new RequestLimits(1, 1, 1, 1), List.of(teams)));
        service.refuseRevoked();
    }

    private static Team team(String name, String... keys) {
        return new Team(name, 3, 0, 0, Arrays.stream(keys).map(ApiKeyHash::of).toList());
    }

    private static String idOf(String key) {
        return ApiKeyHash.idOf(ApiKeyHash.of(key));
    }

    /** Guards against work that starts after its key was removed, and against the loss of work that has started. */
    @Test
    void revokedKeysRefuseOnlyWorkThatHasNotStarted() {
        applyTeams(1, team("blue", "a", "b", "c"), team("red", "d"));
        service.endpointState().announced(new EndpointAnnouncement("desk", "10.0.0.1:80", 1, 1, "i@1"));
        dispatch(null, "blue", idOf("a"));
        dispatch(null, "blue", idOf("a"));
        dispatch(null, "blue", idOf("b"));
        dispatch(null, "blue", idOf("c"));
        dispatch(null, "blue", "");
        assertThat(transport.sent).hasSize(1);
        applyTeams(2, team("blue", "c"), team("red", "d", "b"));
        assertThat(answers.stream().map(CallAnswer::reason))
                .containsExactly(RefusalReason.UNAUTHENTICATED, RefusalReason.TEAM_CHANGED);
        assertThat(service.inFlight()).isEqualTo(3);
    }

    /** A sender may know an older configuration, or a newer one with keys that this host does not know yet. */
    @Test
    void lateDispatchWithARevokedKeyIsRefusedAndOneWithANewKeyIsNot() {
        service.endpointState().announced(FIRST);
        applyTeams(1, team("blue", "a"));
        applyTeams(2, team("blue", "b"));
        dispatch(null, "blue", idOf("a"));
        assertThat(answers.remove(0).reason()).isEqualTo(RefusalReason.UNAUTHENTICATED);
        dispatch(null, "blue", idOf("new"));
        assertThat(transport.sent).hasSize(1);
        applyTeams(3, team("blue", "a", "b"));
        dispatch(null, "blue", idOf("a"));
        assertThat(transport.sent).hasSize(2);
    }

    /** Load pattern: one endpoint of a service names a limit, and senders prefer endpoints whose slots are free. */
    @Test
    void advertisesOnlySlotsThatTheLimitCanFill() {
        service.endpointState().announced(FIRST);
        answerWith(EndpointNotice.unrestricted("i@1"));
        assertThat(state.membership().self().slots()).isEqualTo(SLOTS);
        answerWith(new EndpointNotice("i@1", 10, false));
        assertThat(state.membership().self().slots()).isEqualTo(1);
    }
}
