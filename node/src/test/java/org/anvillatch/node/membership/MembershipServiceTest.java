package org.anvillatch.node.membership;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

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
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.Frame;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.peer.FrameException;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.routes.RouteTableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** A host whose address is used by another incarnation, which answers the pings. */
class MembershipServiceTest {
    private static final long PINGED_INCARNATION = 7;

    private final DecisionLoop loop = new DecisionLoop();
    private final NodeThreads threads = new NodeThreads();
    private final HostState state = TestHostStates.create(member("a", ""));
    private final PeerClient peers = new PeerClient(
            loop, threads.pool(), threads.scheduler(), "127.0.0.1", MemoryBudget.ofMaxHeap(), new MetricRegistry());
    private final MembershipService service =
            new MembershipService(loop, state, peers, new RouteTableService(loop, state, peers));
    private ServerSocket listener;

    private static Member member(String name, String address) {
        HostIdentity host = new HostIdentity(name, PINGED_INCARNATION);
        return new Member(host, 0, address, "d", "", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0);
    }

    @BeforeEach
    void start() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        loop.start();
        threads.start();
        peers.start();
        loop.execute(() -> state.membership()
                .mergeUpdates(List.of(member("b", "127.0.0.1:" + listener.getLocalPort())), loop.nowMicros()));
    }

    @AfterEach
    void stop() throws Exception {
        peers.stop();
        threads.stop();
        loop.stop();
        listener.close();
    }

    /** Answers all pings on one connection as another incarnation of the host. */
    private void answerPings() {
        try (Socket socket = listener.accept()) {
            InputStream in = socket.getInputStream();
            while (true) {
                byte[] length = in.readNBytes(4);
                ByteBuffer bytes =
                        ByteBuffer.allocate(4 + ByteBuffer.wrap(length).getInt());
                bytes.put(length).put(in.readNBytes(bytes.remaining())).flip();
                Frame request = FrameCodec.decode(bytes).orElseThrow();
                if (request.message() instanceof ControlMessages.Ping) {
                    PeerMessage answer = new ControlMessages.PingAnswer("b", List.of(), -1, PINGED_INCARNATION + 1);
                    ByteBuffer frame = FrameCodec.encode(new Frame(request.correlation(), true, answer));
                    socket.getOutputStream().write(frame.array(), 0, frame.limit());
                }
            }
        } catch (IOException | RuntimeException | FrameException closed) {
            // The client has closed the connection.
        }
    }

    private MemberStatus statusAfterTick() {
        AtomicReference<MemberStatus> status = new AtomicReference<>();
        loop.execute(() -> {
            service.tick();
            status.set(state.membership().find("b").status());
        });
        return status.get();
    }

    /** Guards against a host that counts as alive because a later process on it answers its pings. */
    @Test
    void answerOfAnotherIncarnationDoesNotCount() throws Exception {
        Thread answering = new Thread(this::answerPings);
        answering.setDaemon(true);
        answering.start();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        MemberStatus status = MemberStatus.ALIVE;
        while (status != MemberStatus.SUSPECT && System.nanoTime() < endNanos) {
            status = Objects.requireNonNullElse(statusAfterTick(), status);
            Thread.sleep(10);
        }
        assertThat(status).isEqualTo(MemberStatus.SUSPECT);
    }
}
