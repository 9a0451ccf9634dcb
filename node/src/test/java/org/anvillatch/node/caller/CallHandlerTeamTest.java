package org.anvillatch.node.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.configuration.TeamPolicy;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.retry.RetryTokenBucket;
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.node.call.CallDecisionRecorder;
import org.anvillatch.node.call.CallRouter;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.listener.ConnectionGuard;
import org.anvillatch.node.listener.GuardedConnector;
import org.anvillatch.node.listener.GuardedHttpFactory;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.anvillatch.node.memory.IncompleteBodies;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.team.TeamAllowances;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the keys of teams at the product's own interface; no endpoint exists, so an accepted call is refused later. */
class CallHandlerTeamTest {
    private final DecisionLoop loop = new DecisionLoop();
    private final HostState state = TestHostStates.create(
            new Member(new HostIdentity("desk-1", 7), 0, "", "d", "", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0));
    private final MetricRegistry metrics = new MetricRegistry();
    private final CallDecisionRecorder decisions =
            new CallDecisionRecorder(new DecisionLog(DecisionLog.Format.TEXT, metrics), "desk-1");
    private final CallRouter router =
            new CallRouter(loop, state, null, null, decisions, metrics, RetryTokenBucket::new);
    private final CallHandler handler = new CallHandler(loop, state, router, null, null, decisions, metrics);
    private final Server server = new Server();
    private final ConnectionGuard guard =
            new ConnectionGuard(null, new IncompleteBodies(MemoryBudget.ofMaxHeap()), metrics);
    private final ServerConnector connector = new GuardedConnector(
            server, null, 1, new GuardedHttpFactory(new HttpConfiguration()), guard.addListener("callers", 10));
    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeEach
    void start() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(handler);
        server.start();
        applyChanges(
                0,
                new ConfigurationChange.Operation("desk", "read", new OperationPolicy("normal", true, 1_000)),
                new ConfigurationChange.Team("blue", new TeamPolicy(null, 5, 10, List.of(ApiKeyHash.of("key-1")))));
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private void applyChanges(long offset, ConfigurationChange... changes) throws Exception {
        CompletableFuture<Void> applied = new CompletableFuture<>();
        loop.execute(() -> {
            state.configuration()
                    .addRecord(
                            offset,
                            new ConfigurationRecord("c" + offset, offset - 1, "me", 0, List.of(changes), null, 0));
            state.routes().replaceTeams(state.configuration().current().teamList(), Set.of(0));
            applied.complete(null);
        });
        applied.get();
    }

    private HttpResponse<String> send(String key) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + connector.getLocalPort() + "/v1/call/desk/read"))
                .POST(HttpRequest.BodyPublishers.noBody());
        if (key != null) {
            request.header("anvillatch-key", key);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String reason(HttpResponse<String> response) {
        return response.headers().firstValue("Anvillatch-Reason").orElse("");
    }

    /** Guards against calls without a key, and against a node without teams that demands one. */
    @Test
    void onlyCallsWithAValidKeyAreAccepted() throws Exception {
        HttpResponse<String> refused = send(null);
        assertThat(refused.statusCode()).isEqualTo(401);
        assertThat(refused.headers().firstValue("Anvillatch-Outcome")).hasValue("not-run");
        assertThat(reason(refused)).isEqualTo("unauthenticated");
        assertThat(send("key-2").statusCode()).isEqualTo(401);
        assertThat(reason(send("key-1"))).isEqualTo("no-endpoint");
        applyChanges(1, new ConfigurationChange.TeamRemoval("blue"));
        assertThat(reason(send(null))).isEqualTo("no-endpoint");
    }

    @Test
    void callsBeyondTheAllowanceNameWhenCapacityIsAvailable() throws Exception {
        List<String> released = new ArrayList<>();
        loop.execute(() -> handler.teamAdmission().setAllowances(new TeamAllowances() {
            @Override
            public void acquire(String team, long nowMicros, Consumer<Verdict> reply) {
                reply.accept(released.isEmpty() ? Verdict.GRANTED : Verdict.refused(1_200_000));
            }

            @Override
            public void release(String team) {
                released.add(team);
            }
        }));
        assertThat(reason(send("key-1"))).isEqualTo("no-endpoint");
        assertThat(released).containsExactly("blue");
        HttpResponse<String> refused = send("key-1");
        assertThat(refused.statusCode()).isEqualTo(429);
        assertThat(refused.headers().firstValue("Retry-After")).hasValue("2");
    }
}
