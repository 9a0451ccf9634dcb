package org.anvillatch.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the client by which a node reaches its endpoint, the log service and the store. */
class HttpClientsTest {
    private static final long MAX_WAIT_SECONDS = 20;
    private static final long CONNECT_TIMEOUT_MILLIS = 10_000;

    /** Bytes after which a head that should be refused ends, so that a client that keeps it can be told. */
    private static final long LONG_HEAD_BYTES = 64 * 1024 * 1024;

    private final NodeThreads threads = new NodeThreads();
    private final HttpClient client = HttpClients.create(threads.pool(), threads.scheduler(), CONNECT_TIMEOUT_MILLIS);
    private RawHttpServer server;

    @BeforeEach
    void start() throws Exception {
        threads.start();
        HttpClients.start(client, "test client");
        server = new RawHttpServer();
    }

    @AfterEach
    void stop() throws Exception {
        HttpClients.stop(client, "test client");
        threads.stop();
        server.close();
    }

    /** Guards against a process that keeps all that a server sends, and runs out of memory. */
    @Test
    void longHeadIsRefused() throws Exception {
        CompletableFuture<Result> result = new CompletableFuture<>();
        client.newRequest("http://" + server.address() + "/").send(result::complete);
        try (RawHttpServer.Connection connection = server.accept()) {
            connection.readHead();
            connection.write("HTTP/1.1 200 OK\r\nX-More: ");
            if (!connection.writeUntilClosed("x", LONG_HEAD_BYTES)) {
                connection.write("\r\nContent-Length: 0\r\n\r\n");
            }
            assertThat(result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).isFailed())
                    .isTrue();
        }
    }
}
