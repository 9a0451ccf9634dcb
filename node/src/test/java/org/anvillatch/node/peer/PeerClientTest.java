package org.anvillatch.node.peer;

import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.NodeThreads;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.memory.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerClientTest {
    private final NodeThreads threads = new NodeThreads();
    private final DecisionLoop loop = new DecisionLoop();
    private final PeerClient client = new PeerClient(
            loop, threads.pool(), threads.scheduler(), "127.0.0.1", MemoryBudget.ofMaxHeap(), new MetricRegistry());
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        loop.start();
        threads.start();
        client.start();
        server = new ServerSocket(0);
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        threads.stop();
        loop.stop();
        server.close();
    }

    private CompletableFuture<PeerClient.PeerFailure> send(PeerMessage message) {
        CompletableFuture<PeerClient.PeerFailure> result = new CompletableFuture<>();
        client.send("127.0.0.1:" + server.getLocalPort(), message, 20_000_000, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage answer) {
                result.completeExceptionally(new AssertionError("answered"));
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                result.complete(failure);
            }
        });
        return result;
    }

    private static CompletableFuture<PeerClient.PeerFailure> result(
            CompletableFuture<CompletableFuture<PeerClient.PeerFailure>> sent) throws Exception {
        return sent.get(20, TimeUnit.SECONDS);
    }

    /** Guards against requests that are never written because one before them cannot be encoded. */
    @Test
    void oversizedMessageDoesNotPreventLaterOnesOnANewConnection() throws Exception {
        PeerMessage oversized = new ControlMessages.Suspicions(
                List.of(new CrashSuspects.Suspicion("x".repeat(FrameCodec.MAX_FRAME_BYTES), "crash")));
        CompletableFuture<CompletableFuture<PeerClient.PeerFailure>> first = new CompletableFuture<>();
        CompletableFuture<CompletableFuture<PeerClient.PeerFailure>> second = new CompletableFuture<>();
        loop.execute(() -> {
            // The connection opens in a later task, so both messages wait for it.
            first.complete(send(oversized));
            second.complete(send(new ControlMessages.StatusRequest()));
        });
        assertThat(result(first).get(20, TimeUnit.SECONDS)).isEqualTo(PeerClient.PeerFailure.NOT_SENT);
        byte[] header = server.accept().getInputStream().readNBytes(7);
        assertThat(header[6]).isEqualTo((byte) MessageKind.STATUS_REQUEST.code());
        assertThat(result(second).isDone()).isFalse();
    }
}
