package org.anvillatch.node.configuration;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.node.NodeThreads;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.platform.FakeLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationServiceTest {
    private static final HostIdentity SELF = new HostIdentity("desk-2", 1);
    private static final long TICK_MICROS = 50_000;
    private static final long MAX_WAIT_SECONDS = 20;

    private final DecisionLoop loop = new DecisionLoop();
    private final NodeThreads threads = new NodeThreads();
    private final MetricRegistry metrics = new MetricRegistry();
    private final HostState state = TestHostStates.create(member(SELF));
    private final FakeLog log = new FakeLog();
    private final PeerClient peers =
            new PeerClient(loop, threads.pool(), threads.scheduler(), "127.0.0.1", MemoryBudget.ofMaxHeap(), metrics);
    private final ConfigurationService service =
            new ConfigurationService(loop, state, peers, log, TimeUnit.HOURS.toMicros(1));

    private static Member member(HostIdentity host) {
        return new Member(host, 0, "127.0.0.1:1", "d", "desk", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0);
    }

    @BeforeEach
    void start() throws Exception {
        log.restore(0);
        threads.start();
        peers.start();
        loop.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
        peers.stop();
        threads.stop();
    }

    private void awaitOpenHistory() throws Exception {
        loop.scheduleRepeatedly(TICK_MICROS, service::tick);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (!isHistoryOpen()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            Thread.sleep(10);
        }
    }

    private boolean isHistoryOpen() throws Exception {
        CompletableFuture<Boolean> open = new CompletableFuture<>();
        loop.execute(() -> open.complete(
                state.configuration().history() == 1 && state.configuration().isHistoryOpen()));
        return open.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void firstHostWritesTheConfigurationToARestoredLog() throws Exception {
        awaitOpenHistory();
        assertThat(log.entries()).isNotEmpty();
    }

    /** Guards against changes that are refused for good because the first host cannot reach the log. */
    @Test
    void anotherReaderWritesTheConfigurationIfTheFirstHostDoesNot() throws Exception {
        state.membership().mergeUpdates(List.of(member(new HostIdentity("desk-1", 1))), 0);
        assertThat(state.membership().isFirstPresent()).isFalse();
        awaitOpenHistory();
        assertThat(log.entries()).isNotEmpty();
    }
}
