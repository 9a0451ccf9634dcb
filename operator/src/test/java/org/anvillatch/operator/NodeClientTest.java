package org.anvillatch.operator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the client of a node's operator address against broken answers. */
class NodeClientTest {
    private static final long MAX_WAIT_SECONDS = 20;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

    /** Bytes after which a head that should be refused ends, so that a client that keeps it can be told. */
    private static final int LONG_HEAD_BYTES = 64 * 1024 * 1024;

    private static final int WRITE_BYTES = 16 * 1024;
    private static final String RESULT = "{\"result\":\"ANSWERED\",\"message\":\"\",\"change\":\"\",\"version\":7,"
            + "\"findings\":[],\"tables\":[]}";

    private ServerSocket server;
    private NodeClient client;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0);
        server.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        client = new NodeClient("127.0.0.1:" + server.getLocalPort(), "key", "author");
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    /** Writes the bytes of an answer. */
    private interface Answer {
        void write(OutputStream output) throws IOException;
    }

    /** Answers the next request, resets its connection, and returns when both have happened. */
    private CompletableFuture<Void> answerAndReset(Answer answer) {
        return CompletableFuture.runAsync(() -> {
            try (Socket socket = server.accept()) {
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                while (!reader.readLine().isEmpty()) {
                    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                }
                socket.setSoLinger(true, 0);
                answer.write(socket.getOutputStream());
            } catch (IOException closed) {
                // The client has refused the answer.
            }
        });
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void resultIsRead() throws Exception {
        CompletableFuture<Void> answered = answerAndReset(
                output -> write(output, "HTTP/1.1 200 OK\r\nContent-Length: " + RESULT.length() + "\r\n\r\n" + RESULT));
        assertThat(client.run("show hosts;", false).version()).isEqualTo(7);
        answered.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a part of an answer that is shown as the whole. */
    @Test
    void answerThatIsResetIsAnError() throws Exception {
        for (int length = 0; length < RESULT.length(); length++) {
            String part = RESULT.substring(0, length);
            CompletableFuture<Void> answered =
                    answerAndReset(output -> write(output, "HTTP/1.1 200 OK\r\n\r\n" + part));
            assertThrows(IOException.class, () -> client.run("show hosts;", false), part);
            answered.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Guards against a process that keeps all that a server sends, and runs out of memory. */
    @Test
    void longHeadIsRefused() throws Exception {
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        answerAndReset(output -> {
            try {
                write(output, "HTTP/1.1 200 OK\r\nX-More: ");
                for (int written = 0; written < LONG_HEAD_BYTES; written += WRITE_BYTES) {
                    write(output, "x".repeat(WRITE_BYTES));
                }
                accepted.complete(true);
            } catch (IOException closed) {
                accepted.complete(false);
            }
        });
        assertThrows(IOException.class, () -> client.run("show hosts;", false));
        assertWithMessage("whole head accepted")
                .that(accepted.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
                .isFalse();
    }
}
