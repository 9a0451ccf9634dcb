package org.anvillatch.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests how the end of a socket's input is reported. The test reads and writes; no selector reads in between. */
class ResetAwareEndPointTest {
    private static final long MAX_WAIT_SECONDS = 20;

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BYTES = 32 * 1024 * 1024;

    private static final int BUFFER_BYTES = 1024;

    private final NodeThreads threads = new NodeThreads();
    private final KeepAliveConnector connector = new KeepAliveConnector();
    private ServerSocket server;
    private Socket peer;
    private EndPoint endPoint;

    /** A connection that reads nothing. */
    private static final class PassiveConnection extends AbstractConnection {
        private final CompletableFuture<EndPoint> opened;

        private PassiveConnection(EndPoint endPoint, NodeThreads threads, CompletableFuture<EndPoint> opened) {
            super(endPoint, threads.pool());
            this.opened = opened;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            opened.complete(getEndPoint());
        }

        @Override
        public void onFillable() {}
    }

    @BeforeEach
    void connect() throws Exception {
        threads.start();
        connector.setExecutor(threads.pool());
        connector.setScheduler(threads.scheduler());
        connector.setSelectors(1);
        connector.start();
        server = new ServerSocket(0);
        CompletableFuture<EndPoint> opened = new CompletableFuture<>();
        connector.connect(
                "127.0.0.1:" + server.getLocalPort(),
                socket -> new PassiveConnection(socket, threads, opened),
                opened::completeExceptionally);
        peer = server.accept();
        endPoint = opened.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        peer.close();
        server.close();
        connector.stop();
        threads.stop();
    }

    private void sendPart() throws IOException {
        peer.getOutputStream().write("part".getBytes(StandardCharsets.US_ASCII));
    }

    private void resetConnection() throws IOException {
        peer.setSoLinger(true, 0);
        peer.close();
    }

    private CompletableFuture<Void> writeMoreThanFits() {
        CompletableFuture<Void> written = new CompletableFuture<>();
        endPoint.write(
                Callback.from(() -> written.complete(null), written::completeExceptionally),
                ByteBuffer.allocate(LARGE_BYTES));
        return written;
    }

    /** Reads until the end of the input, and returns what was read before it. */
    private String readToEnd() throws Exception {
        StringBuilder text = new StringBuilder();
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        int filled = endPoint.fill(buffer);
        while (filled >= 0) {
            text.append(BufferUtil.toString(buffer));
            BufferUtil.clear(buffer);
            if (filled == 0) {
                awaitInput();
            }
            filled = endPoint.fill(buffer);
        }
        return text.toString();
    }

    private void awaitInput() throws Exception {
        CompletableFuture<Void> readable = new CompletableFuture<>();
        endPoint.fillInterested(Callback.from(() -> readable.complete(null), readable::completeExceptionally));
        readable.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Guards against a truncated response that looks complete: the socket reports a reset once, to the write of the request,
     * and the read finds the end of the stream.
     */
    @Test
    void resetThatFailedAWriteIsNotTheEndOfTheInput() throws Exception {
        CompletableFuture<Void> written = writeMoreThanFits();
        sendPart();
        resetConnection();
        assertThrows(ExecutionException.class, () -> written.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS));
        assertThrows(IOException.class, this::readToEnd);
        assertThrows(IOException.class, this::readToEnd);
    }

    @Test
    void resetWithoutAWriteIsNotTheEndOfTheInput() throws Exception {
        sendPart();
        resetConnection();
        assertThrows(IOException.class, this::readToEnd);
    }

    @Test
    void closeInOrderIsTheEndOfTheInput() throws Exception {
        sendPart();
        peer.close();
        assertThat(readToEnd()).isEqualTo("part");
    }

    /** An endpoint may answer and end its output while it still reads the request. */
    @Test
    void endOfTheOutputDuringAWriteIsTheEndOfTheInput() throws Exception {
        CompletableFuture<Void> written = writeMoreThanFits();
        sendPart();
        peer.shutdownOutput();
        assertThat(readToEnd()).isEqualTo("part");
        assertThat(written.isDone()).isFalse();
        assertThat(peer.getInputStream().readNBytes(LARGE_BYTES)).hasLength(LARGE_BYTES);
        written.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
