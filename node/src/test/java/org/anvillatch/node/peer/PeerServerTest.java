package org.anvillatch.node.peer;

import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.memory.MemoryBudget;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerServerTest {
    private static final int ANSWER_BYTES = 4 << 20;

    private final QueuedThreadPool threads = new QueuedThreadPool(8);
    private final Server server = new Server(threads);
    private final PeerServer.Handler handler = new PeerServer.Handler() {
        @Override
        public void handleRequest(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
            CallBody body = new CallBody("", new byte[ANSWER_BYTES]);
            reply.send(CallAnswer.unknown("", "a", List.of()).withBody(body));
        }

        @Override
        public void connectionClosed(PeerConnection connection) {}
    };
    private final PeerServer peers = new PeerServer(threads, handler, MemoryBudget.ofMaxHeap(), new MetricRegistry());
    private final ServerConnector connector = new ServerConnector(server, 1, 1, peers);

    @BeforeEach
    void start() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private void awaitConnectionsWriting(int expected) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (peers.connectionsWriting() != expected && System.nanoTime() < endNanos) {
            Thread.sleep(10);
        }
        assertThat(peers.connectionsWriting()).isEqualTo(expected);
    }

    /** Guards against a planned stop that cuts a large answer on its way to another host. */
    @Test
    void answerCountsUntilTheOtherHostHasTakenIt() throws Exception {
        assertThat(peers.connectionsWriting()).isEqualTo(0);
        try (Socket socket = new Socket("127.0.0.1", connector.getLocalPort())) {
            ByteBuffer request = FrameCodec.encode(new Frame(1, false, new ControlMessages.StatusRequest()));
            socket.getOutputStream().write(request.array(), 0, request.limit());
            // The transfer of the answer has begun and waits for a grant.
            assertThat(socket.getInputStream().readNBytes(7)[6]).isEqualTo((byte) MessageKind.TRANSFER_START.code());
            awaitConnectionsWriting(1);
            ByteBuffer grant = FrameCodec.encode(new Frame(1, true, new TransferMessages.Grant(ANSWER_BYTES)));
            socket.getOutputStream().write(grant.array(), 0, grant.limit());
            assertThat(socket.getInputStream().readNBytes(ANSWER_BYTES)).hasLength(ANSWER_BYTES);
            socket.getInputStream().skipNBytes(1);
            awaitConnectionsWriting(0);
        }
    }
}
