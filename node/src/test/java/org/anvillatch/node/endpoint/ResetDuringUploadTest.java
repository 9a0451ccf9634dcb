package org.anvillatch.node.endpoint;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.rejection.CallProgress;
import org.anvillatch.node.KeepAliveConnector;
import org.anvillatch.node.NodeThreads;
import org.anvillatch.node.ResetAwareEndPoint;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.endpoint.EndpointTransport.EndpointAnswer;
import org.anvillatch.node.endpoint.EndpointTransport.ExchangeResult;
import org.anvillatch.node.memory.MemoryBudget;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests responses without a length whose connection is reset while the request is being written. The response is read after
 * the write has failed and before the failure has been reported, the order that makes the reset look like a close.
 */
class ResetDuringUploadTest {
    private static final long MAX_WAIT_SECONDS = 20;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final String EXECUTION = "desk-1~7~1";

    /** More than the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

    /**
     * Size of the truncated response, a multiple of the size of a connection's input buffer: after a read that filled its
     * buffer, the socket is read again at once.
     */
    private static final int RESPONSE_BYTES = 64 * 1024;

    private final NodeThreads threads = new NodeThreads();
    private final HeldReadConnector connector = new HeldReadConnector();
    private final EndpointClient client =
            new EndpointClient(connector, threads.pool(), threads.scheduler(), MemoryBudget.ofMaxHeap());
    private ServerSocket server;

    /** Reads nothing until a write has failed; then it lets the connection read before the failure is reported. */
    private static final class HeldReadEndPoint extends ResetAwareEndPoint {
        private final CompletableFuture<Void> endOfInput;
        private Callback heldRead;

        private HeldReadEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler,
                CompletableFuture<Void> endOfInput) {
            super(channel, selector, key, scheduler);
            this.endOfInput = endOfInput;
        }

        @Override
        public void fillInterested(Callback callback) {
            heldRead = callback;
        }

        @Override
        public boolean tryFillInterested(Callback callback) {
            heldRead = callback;
            return true;
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            try {
                return super.flush(buffers);
            } catch (IOException failure) {
                heldRead.succeeded();
                throw failure;
            }
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            int filled = -1;
            try {
                filled = super.fill(buffer);
                return filled;
            } finally {
                if (filled < 0) {
                    endOfInput.complete(null);
                }
            }
        }
    }

    /** Opens connections whose reads are held. */
    private static final class HeldReadConnector extends KeepAliveConnector {
        private final CompletableFuture<Void> endOfInput = new CompletableFuture<>();

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new HeldReadEndPoint((SocketChannel) channel, selector, key, getScheduler(), endOfInput);
        }
    }

    @BeforeEach
    void start() throws Exception {
        threads.start();
        client.start();
        server = new ServerSocket(0);
        server.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        threads.stop();
        server.close();
    }

    /** Guards against a part of a response that is delivered as a complete one. */
    @Test
    void responseWithoutLengthIsNotCompletedByAReset() throws Exception {
        DispatchMessage message = new DispatchMessage(
                new CallContext("r", 0, "r", 0, false, ""),
                new OperationName("desk", "write"),
                false,
                new CallBody("", new byte[UPLOAD_BYTES]),
                "",
                5_000_000,
                0,
                null,
                null,
                CallProgress.NONE);
        CompletableFuture<EndpointAnswer> answer = new CompletableFuture<>();
        EndpointAnnouncement endpoint =
                new EndpointAnnouncement("desk", "127.0.0.1:" + server.getLocalPort(), 1, 1, "i");
        client.send(endpoint, EXECUTION, message, 15_000_000, answer::complete);
        try (Socket peer = server.accept()) {
            peer.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(peer.getInputStream(), StandardCharsets.US_ASCII));
            while (!reader.readLine().isEmpty()) {
                assertThat(answer.isDone()).isFalse();
            }
            String head = "HTTP/1.1 200 OK\r\nAnvillatch-Context: " + EXECUTION + "\r\n\r\n";
            String part = "x".repeat(RESPONSE_BYTES - head.length());
            peer.getOutputStream().write((head + part).getBytes(StandardCharsets.US_ASCII));
            peer.setSoLinger(true, 0);
        }
        connector.endOfInput.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(answer.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).result()).isEqualTo(ExchangeResult.BROKEN);
    }
}
