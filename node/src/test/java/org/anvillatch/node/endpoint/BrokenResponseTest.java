package org.anvillatch.node.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.rejection.CallProgress;
import org.anvillatch.node.NodeThreads;
import org.anvillatch.node.RawHttpServer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.endpoint.EndpointTransport.EndpointAnswer;
import org.anvillatch.node.endpoint.EndpointTransport.ExchangeResult;
import org.anvillatch.node.memory.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests the client against endpoints whose responses are not valid HTTP, or do not end. */
class BrokenResponseTest {
    private static final long MAX_WAIT_SECONDS = 20;
    private static final long REMAINING_MICROS = 15_000_000;
    private static final int MANY_INTERIM_RESPONSES = 64;
    private static final int INTERIM_LENGTH = interim(100).length();
    private static final String EXECUTION = "desk-1~7~1";
    private static final String IDENTITY = "Anvillatch-Context: " + EXECUTION + "\r\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\n" + IDENTITY;
    private static final String BODY = "Content-Length: 3\r\n\r\none";

    /** Bytes after which a part that should be refused ends, so that a client that keeps them can be told. */
    private static final long LONG_PART_BYTES = 64 * 1024 * 1024;

    private static final int ACCOUNT_BYTES = 4 * 1024 * 1024;
    private static final int LARGE_BYTES = 300_000;
    private static final int CONCURRENT_RESPONSES = 16;

    private final NodeThreads threads = new NodeThreads();
    private final MemoryBudget budget = new MemoryBudget(ACCOUNT_BYTES, ACCOUNT_BYTES / 4);
    private final EndpointClient client = new EndpointClient(threads.pool(), threads.scheduler(), budget);
    private RawHttpServer server;

    /** Parts of a response that have no declared length. */
    private enum LongPart {
        FIELDS(ExchangeResult.BROKEN, HEAD, "X-More: and more of it\r\n", "Content-Length: 0\r\n\r\n"),
        FIELD_NAME(ExchangeResult.BROKEN, HEAD, "x", ": v\r\nContent-Length: 0\r\n\r\n"),
        FIELD_VALUE(ExchangeResult.BROKEN, HEAD + "X-More: ", "x", "\r\nContent-Length: 0\r\n\r\n"),
        REASON(ExchangeResult.BROKEN, "HTTP/1.1 200 ", "x", "\r\n" + IDENTITY + "Content-Length: 0\r\n\r\n"),
        TRAILERS(
                ExchangeResult.BROKEN,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-More: and more of it\r\n",
                "\r\n"),
        TRAILER_VALUE(ExchangeResult.BROKEN, HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", "x", "\r\n\r\n"),
        BODY(ExchangeResult.MISMATCHED, HEAD + "\r\n", "x", ""),
        CHUNKS(ExchangeResult.MISMATCHED, HEAD + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "0\r\n\r\n");

        private final ExchangeResult expected;
        private final String start;
        private final String repeated;
        private final String end;

        LongPart(ExchangeResult expected, String start, String repeated, String end) {
            this.expected = expected;
            this.start = start;
            this.repeated = repeated;
            this.end = end;
        }
    }

    @BeforeEach
    void start() throws Exception {
        threads.start();
        client.start();
        server = new RawHttpServer();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        threads.stop();
        server.close();
    }

    private CompletableFuture<EndpointAnswer> send(long remainingMicros) {
        DispatchMessage message = new DispatchMessage(
                new CallContext("r", 0, "r", 0, false, ""),
                new OperationName("desk", "write"),
                false,
                new CallBody("", new byte[0]),
                "",
                5_000_000,
                0,
                null,
                null,
                CallProgress.NONE);
        CompletableFuture<EndpointAnswer> answer = new CompletableFuture<>();
        EndpointAnnouncement endpoint = new EndpointAnnouncement("desk", server.address(), 1, 1, "i");
        client.send(endpoint, EXECUTION, message, remainingMicros, answer::complete);
        return answer;
    }

    private RawHttpServer.Connection acceptRequest() throws IOException {
        RawHttpServer.Connection connection = server.accept();
        connection.readHead();
        return connection;
    }

    private static ExchangeResult result(CompletableFuture<EndpointAnswer> answer) throws Exception {
        return answer.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).result();
    }

    /** Answers a request with the response, checks that the client closes the connection, and returns the result. */
    private ExchangeResult resultOf(String response) throws Exception {
        CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
        try (RawHttpServer.Connection connection = acceptRequest()) {
            connection.write(response);
            ExchangeResult result = result(answer);
            assertThat(connection.isClosedByClient()).isTrue();
            return result;
        }
    }

    /** Guards against a response that HTTP does not define and that reaches a caller as an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "101", "600", "999", "20", "2000", "abc", "-20"})
    void responseWithInvalidStatusIsRefused(String status) throws Exception {
        String response = "HTTP/1.1 " + status + " Trouble\r\n" + IDENTITY + BODY;
        assertThat(resultOf(response)).isAnyOf(ExchangeResult.BROKEN, ExchangeResult.MISMATCHED);
    }

    /** Guards against a line that is forwarded, or that hides the length of the body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X More: v",
                "X-More : v",
                "X-More\t: v",
                "X\u0001More: v",
                "X\0More: v",
                "X\u007fMore: v",
                "X\u00e9More: v",
                "X\rMore: v",
                "X(More): v",
                ": v",
                " X-More: v",
                "no colon",
                "X-More: v\r\n folded",
                "X-More: v\rw",
                "X-More: v\0w",
                "X-More: v\u0001w",
                "Content-Length : 1",
                "Transfer-Encoding : chunked",
                "Content-Length: 1",
                "Transfer-Encoding: chunked"
            })
    void responseWithMalformedLineIsRefused(String line) throws Exception {
        assertThat(resultOf(HEAD + line + "\r\n" + BODY)).isEqualTo(ExchangeResult.BROKEN);
    }

    /** Guards against a body that is delivered in an encoding that the caller is not told. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
                "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\none"
            })
    void encodedResponseIsRefused(String rest) throws Exception {
        assertThat(resultOf(HEAD + rest)).isEqualTo(ExchangeResult.MISMATCHED);
    }

    private static String interim(int status) {
        return "HTTP/1.1 " + status + " Interim\r\n\r\n";
    }

    /** Guards against a request that never completes and occupies a slot of its endpoint for good. */
    @Test
    void interimResponsesAreSkipped() throws Exception {
        List<String> interimResponses = List.of(
                interim(100),
                interim(100).repeat(2),
                interim(100).repeat(MANY_INTERIM_RESPONSES),
                interim(102).repeat(MANY_INTERIM_RESPONSES),
                interim(103).repeat(MANY_INTERIM_RESPONSES),
                interim(104),
                interim(199).repeat(2),
                interim(100) + interim(104) + interim(100));
        for (String text : interimResponses) {
            CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
            try (RawHttpServer.Connection connection = acceptRequest()) {
                connection.write(text + HEAD + "Connection: close\r\nContent-Length: 0\r\n\r\n");
                assertWithMessage(text.substring(0, INTERIM_LENGTH))
                        .that(result(answer))
                        .isEqualTo(ExchangeResult.ANSWERED);
            }
        }
    }

    /** Guards against the same with interim responses without end. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 199})
    void endlessInterimResponsesAreRefused(int status) throws Exception {
        CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
        try (RawHttpServer.Connection connection = acceptRequest()) {
            CompletableFuture<Boolean> closed =
                    CompletableFuture.supplyAsync(() -> connection.writeUntilClosed(interim(status), Long.MAX_VALUE));
            assertThat(result(answer)).isEqualTo(ExchangeResult.BROKEN);
            assertThat(closed.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards against a process that keeps all that a faulty endpoint sends, and runs out of memory. */
    @ParameterizedTest
    @EnumSource
    void responseWithALongPartIsRefused(LongPart part) throws Exception {
        CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
        try (RawHttpServer.Connection connection = acceptRequest()) {
            connection.write(part.start);
            if (!connection.writeUntilClosed(part.repeated, LONG_PART_BYTES)) {
                connection.write(part.end);
                connection.endOutput();
            }
            assertThat(result(answer)).isEqualTo(part.expected);
        }
    }

    /** Guards against the same with bytes that follow a complete response. */
    @Test
    void bytesAfterAResponseCloseItsConnection() throws Exception {
        CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
        try (RawHttpServer.Connection connection = acceptRequest()) {
            connection.write(HEAD + "Content-Length: 0\r\n\r\n");
            assertThat(result(answer)).isEqualTo(ExchangeResult.ANSWERED);
            assertThat(connection.writeUntilClosed("x", LONG_PART_BYTES)).isTrue();
        }
    }

    /**
     * Guards against a process that runs out of memory because many responses are read at the same time, and against requests
     * that are suspected of crashing their endpoint because the node broke off their responses.
     */
    @Test
    void responsesTogetherStayWithinTheAccount() throws Exception {
        MetricRegistry metrics = new MetricRegistry();
        budget.register(metrics);
        List<CompletableFuture<EndpointAnswer>> answers = new ArrayList<>();
        List<RawHttpServer.Connection> connections = new ArrayList<>();
        for (int index = 0; index < CONCURRENT_RESPONSES; index++) {
            answers.add(send(REMAINING_MICROS));
            connections.add(acceptRequest());
        }
        for (RawHttpServer.Connection connection : connections) {
            connection.write(HEAD + "\r\n");
            CompletableFuture.runAsync(() -> connection.writeUntilClosed("x", LONG_PART_BYTES));
        }
        for (CompletableFuture<EndpointAnswer> answer : answers) {
            assertThat(result(answer)).isEqualTo(ExchangeResult.MISMATCHED);
        }
        Object peakBytes = metrics.getGauges().get("memory.peak_bytes").getValue();
        assertThat((Long) peakBytes).isAtMost(ACCOUNT_BYTES);
        assertThat(budget.reservedBytes()).isEqualTo(0);
        for (RawHttpServer.Connection connection : connections) {
            connection.close();
        }
    }

    /** Guards against memory that stays reserved after a large response was used. */
    @Test
    void memoryOfALargeResponseIsReleasedWithItsBody() throws Exception {
        CompletableFuture<EndpointAnswer> answer = send(REMAINING_MICROS);
        try (RawHttpServer.Connection connection = acceptRequest()) {
            connection.write(HEAD + "Content-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES));
            CallBody body = answer.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).body();
            assertThat(body.content()).hasLength(LARGE_BYTES);
            assertThat(budget.reservedBytes()).isAtLeast(LARGE_BYTES);
            body.release();
            assertThat(budget.reservedBytes()).isEqualTo(0);
        }
    }
}
