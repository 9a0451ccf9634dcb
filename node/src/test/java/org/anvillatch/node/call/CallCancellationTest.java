package org.anvillatch.node.call;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.retry.RetryTokenBucket;
import org.anvillatch.node.NodeThreads;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.endpoint.EndpointClient;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.Frame;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.peer.PeerClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Routes a call that this host's own gatekeeper refuses at once to another host, which never answers. */
class CallCancellationTest {
    private final DecisionLoop loop = new DecisionLoop();
    private final NodeThreads threads = new NodeThreads();
    private final HostState state = TestHostStates.create(
            new Member(new HostIdentity("a", 7), 0, "", "d", "desk", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0));
    private final MetricRegistry metrics = new MetricRegistry();
    private final PeerClient peers =
            new PeerClient(loop, threads.pool(), threads.scheduler(), "127.0.0.1", MemoryBudget.ofMaxHeap(), metrics);
    private final CallDecisionRecorder decisions =
            new CallDecisionRecorder(new DecisionLog(DecisionLog.Format.TEXT, metrics), "a");
    private final GatekeeperService gatekeeper = new GatekeeperService(
            loop,
            state,
            new EndpointClient(threads.pool(), threads.scheduler(), MemoryBudget.ofMaxHeap()),
            decisions,
            metrics,
            CrashSignal.CONNECTION_REFUSED);
    private final CallRouter router =
            new CallRouter(loop, state, peers, gatekeeper, decisions, metrics, RetryTokenBucket::new);
    private final List<CallAnswer> answers = new ArrayList<>();
    private ServerSocket listener;
    private CallRouter.RoutedCall call;

    @BeforeEach
    void start() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        threads.start();
        loop.start();
        peers.start();
        Member peer = new Member(
                new HostIdentity("b", 7),
                0,
                "127.0.0.1:" + listener.getLocalPort(),
                "e",
                "desk",
                10,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                0);
        loop.execute(() -> {
            gatekeeper.endpointState().leaving("i@1");
            // Gossip has not spread the phase yet.
            state.membership().advertiseEndpoint("desk", 10, EndpointPhase.SERVING, 0);
            state.membership().mergeUpdates(List.of(peer), loop.nowMicros());
            call = router.route(
                    new Call(
                            new CallContext("r", 0, "r", 0, false, ""),
                            new OperationName("desk", "read"),
                            new OperationPolicy("", true, 60_000),
                            CallBody.EMPTY,
                            "",
                            "f",
                            loop.nowMicros() + 60_000_000,
                            0,
                            3,
                            null),
                    answers::add);
        });
    }

    @AfterEach
    void stop() throws Exception {
        peers.stop();
        loop.stop();
        threads.stop();
        listener.close();
    }

    private static Frame readFrame(InputStream in) throws Exception {
        byte[] length = in.readNBytes(4);
        ByteBuffer frame = ByteBuffer.allocate(4 + ByteBuffer.wrap(length).getInt());
        frame.put(length).put(in.readNBytes(frame.remaining())).flip();
        Optional<Frame> decoded = FrameCodec.decode(frame);
        return decoded.orElseThrow();
    }

    /** Guards against a caller whose disconnect does not cancel its call after a refusal by the local gatekeeper. */
    @Test
    void callIsCancelledAtTheHostThatRunsIt() throws Exception {
        try (Socket socket = listener.accept()) {
            InputStream in = socket.getInputStream();
            Frame dispatch = readFrame(in);
            assertThat(dispatch.message()).isInstanceOf(DispatchMessage.class);
            loop.execute(() -> call.cancel());
            Frame next = readFrame(in);
            while (next.message() instanceof ControlMessages.ConnectionCheck) {
                next = readFrame(in);
            }
            assertThat(next.message()).isEqualTo(new ControlMessages.Cancel(dispatch.correlation()));
        }
    }

    /** Guards against calls that stay without an answer when the node stops, and against answering them twice. */
    @Test
    void abandonedCallIsAnsweredOnce() throws Exception {
        try (Socket socket = listener.accept()) {
            readFrame(socket.getInputStream());
            loop.execute(router::abandonAll);
            loop.execute(() -> {
                assertThat(answers).hasSize(1);
                assertThat(router.inFlight()).isEqualTo(0);
            });
        }
        loop.execute(router::abandonAll);
        assertThat(answers).hasSize(1);
        assertThat(answers.get(0).outcome()).isEqualTo(Outcome.UNKNOWN);
    }
}
