package org.anvillatch.node.team;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.allowance.Allowance;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.anvillatch.node.peer.AllowanceMessages;
import org.anvillatch.node.peer.Frame;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.peer.FrameException;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Three hosts in one process; their messages are encoded and decoded. */
class TeamAllowanceServiceTest {
    private static final List<String> NAMES = List.of("desk-1", "desk-2", "desk-3");
    private static final String TEAM = "gardeners";
    private static final long MAX_WAIT_SECONDS = 20;

    private final DecisionLoop loop = new DecisionLoop();
    private final Map<String, TeamAllowanceService> services = new HashMap<>();
    private final Map<String, MetricRegistry> metrics = new HashMap<>();
    private final Map<String, HostState> states = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final List<PeerMessage> sent = new ArrayList<>();

    @BeforeEach
    void startServices() {
        loop.start();
        for (String name : NAMES) {
            HostState state = TestHostStates.create(member(name));
            state.membership()
                    .mergeUpdates(
                            NAMES.stream().map(TeamAllowanceServiceTest::member).toList(), 0);
            states.put(name, state);
            metrics.put(name, new MetricRegistry());
            services.put(name, new TeamAllowanceService(loop, state, this::send, metrics.get(name)));
        }
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    private static Member member(String name) {
        HostIdentity identity = new HostIdentity(name, 1);
        return new Member(identity, 0, name, "east", "", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0);
    }

    private void send(String address, PeerMessage message, long timeoutMicros, PeerClient.AnswerListener listener) {
        sent.add(message);
        loop.execute(() -> {
            if (unreachable.contains(address)) {
                listener.failed(PeerClient.PeerFailure.NOT_SENT);
            } else if (transfer(message) instanceof AllowanceMessages.TokensRequest request) {
                listener.answered(transfer(services.get(address).answer(request)));
            } else if (transfer(message) instanceof AllowanceMessages.ClaimRequest request) {
                listener.answered(transfer(services.get(address).answer(request)));
            }
        });
    }

    private static PeerMessage transfer(PeerMessage message) {
        try {
            ByteBuffer bytes = FrameCodec.encode(new Frame(1, false, message));
            return FrameCodec.decode(bytes).orElseThrow().message();
        } catch (FrameException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private <T> T onLoop(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(action.get()));
        return result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void tickAll() throws Exception {
        onLoop(() -> {
            services.values().forEach(TeamAllowanceService::tick);
            return true;
        });
    }

    private int slots(String metric) {
        return NAMES.stream()
                .mapToInt(name ->
                        (Integer) ((Gauge<?>) metrics.get(name).getGauges().get(metric)).getValue())
                .sum();
    }

    private void startAllowance(Allowance allowance) throws Exception {
        onLoop(() -> {
            services.values().forEach(service -> service.update(List.of(allowance)));
            return true;
        });
        do {
            tickAll();
        } while (onLoop(() -> slots("allowances.slots_unconfirmed")) > 0);
    }

    private TeamAllowances.Verdict acquire(String host) throws Exception {
        CompletableFuture<TeamAllowances.Verdict> verdict = new CompletableFuture<>();
        loop.execute(() -> services.get(host).acquire(TEAM, loop.nowMicros(), verdict::complete));
        return verdict.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void awaitGrant(String host) throws Exception {
        while (!acquire(host).isGranted()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void withoutAllowancesAllIsGrantedAndNothingIsSent() throws Exception {
        onLoop(() -> {
            services.get("desk-1").update(List.of());
            return true;
        });
        tickAll();
        assertThat(acquire("desk-1")).isEqualTo(TeamAllowances.Verdict.GRANTED);
        assertThat(sent).isEmpty();
    }

    @Test
    void eachSlotHasOneOwnerAndRequestsAreGrantedAtEachHost() throws Exception {
        Allowance allowance = new Allowance(TEAM, 10, 20);
        startAllowance(allowance);
        assertThat(slots("allowances.slots_owned")).isEqualTo(allowance.slots() + 1);
        for (String name : NAMES) {
            awaitGrant(name);
        }
    }

    /** Guards against a request that is never answered because the owner of a slot is down. */
    @Test
    void requestsAreDecidedWhileAllOtherHostsAreUnreachable() throws Exception {
        startAllowance(new Allowance(TEAM, 1, 5));
        onLoop(() -> unreachable.addAll(NAMES));
        for (String name : NAMES) {
            assertThat(acquire(name)).isNotNull();
        }
        assertThat(acquire("desk-1").retryMicros()).isAtMost(5_000_000);
    }

    /** Guards against a host that has announced its leaving and still grants its share, which others own by then. */
    @Test
    void hostThatLeavesOwnsNothing() throws Exception {
        startAllowance(new Allowance(TEAM, 400, 400));
        onLoop(() -> {
            Member left = states.get("desk-1").membership().self().withStatus(MemberStatus.LEFT);
            states.get("desk-1").membership().leave();
            states.get("desk-2").membership().mergeUpdates(List.of(left), loop.nowMicros());
            states.get("desk-3").membership().mergeUpdates(List.of(left), loop.nowMicros());
            return true;
        });
        do {
            tickAll();
        } while (onLoop(() -> slots("allowances.slots_unconfirmed")) > 0);
        assertThat(metrics.get("desk-1")
                        .getGauges()
                        .get("allowances.slots_owned")
                        .getValue())
                .isEqualTo(0);
        assertThat(slots("allowances.slots_owned")).isEqualTo(17);
        awaitGrant("desk-1");
    }

    /** Guards against requests that stay unanswered when their team loses its allowance. */
    @Test
    void requestThatWaitsIsGrantedWhenTheAllowanceEnds() throws Exception {
        CompletableFuture<TeamAllowances.Verdict> verdict = new CompletableFuture<>();
        onLoop(() -> {
            TeamAllowanceService service = services.get("desk-1");
            service.update(List.of(new Allowance(TEAM, 1, 1)));
            service.acquire(TEAM, loop.nowMicros(), verdict::complete);
            service.update(List.of());
            return true;
        });
        assertThat(verdict.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }
}
