package org.anvillatch.testbed.site;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Starts real node processes without a site and checks their reactions to wrong settings, malformed requests and a
 * graceful shutdown.
 */
class NodeProcessTest {
    private static final int WRONG_SETTINGS = 2;
    private static final int CANNOT_START = 1;

    @TempDir
    private Path directory;

    private final HttpClient client = new HttpClient();
    private final List<NodeProcess> nodes = new ArrayList<>();

    @BeforeEach
    void startClient() throws Exception {
        client.start();
    }

    @AfterEach
    void stopAll() throws Exception {
        nodes.forEach(NodeProcess::destroy);
        client.stop();
    }

    private NodeProcess node(NodeProcess.Ports ports, String... extra) throws IOException {
        NodeProcess node = new NodeProcess(
                new NodeProcess.Settings(
                        "only", "north", ports, "127.0.0.1", "", List.of(), "127.0.0.1:9", List.of(extra)),
                directory);
        nodes.add(node);
        node.start();
        return node;
    }

    private static NodeProcess.Ports ports() throws IOException {
        List<Integer> free = RunningSite.freePorts(4);
        return new NodeProcess.Ports(free.get(0), free.get(1), free.get(2), free.get(3));
    }

    private NodeProcess startedNode(String... extra) throws Exception {
        NodeProcess node = node(ports(), extra);
        RunningSite.await("the node to serve", () -> metric(node, "membership_hosts") == 1);
        return node;
    }

    private double metric(NodeProcess node, String name) {
        try {
            String text =
                    client.GET("http://" + node.operatorAddress() + "/metrics").getContentAsString();
            return text.lines()
                    .filter(line -> line.startsWith("anvillatch_" + name + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
                    .findFirst()
                    .orElse(-1);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return -1;
        } catch (ExecutionException | TimeoutException notYet) {
            return -1;
        }
    }

    private String output() throws IOException {
        return Files.readString(directory.resolve("only-0.log"));
    }

    private ContentResponse post(String address, String path, String body) throws Exception {
        return client.newRequest("http://" + address + path)
                .method(HttpMethod.POST)
                .timeout(5, TimeUnit.SECONDS)
                .body(new StringRequestContent("text/plain", body))
                .send();
    }

    @Test
    void allWrongSettingsAreReported() throws Exception {
        NodeProcess node = node(ports(), "--stop-millis", "soon", "--without", "luck");
        assertThat(node.awaitExit(20)).isEqualTo(WRONG_SETTINGS);
        assertThat(output()).contains("--stop-millis");
        assertThat(output()).contains("--without");
    }

    @Test
    void portInUseIsReported() throws Exception {
        NodeProcess first = startedNode();
        nodes.remove(first);
        NodeProcess second = node(first.settings().ports());
        assertThat(second.awaitExit(20)).isEqualTo(CANNOT_START);
        first.destroy();
        assertThat(output()).contains("--caller-address");
    }

    @Test
    void garbageOnThePeerPortIsClosedAndCounted() throws Exception {
        NodeProcess node = startedNode();
        int port = node.settings().ports().peer();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            assertThat(input.read()).isEqualTo(-1);
        }
        assertThat(metric(node, "peer_malformed")).isEqualTo(1.0);
    }

    @Test
    void refusesCallsWhileThereIsNoConfiguration() throws Exception {
        NodeProcess node = startedNode();
        ContentResponse response = post(node.callerAddress(), "/v1/call/front/read", "x");
        assertThat(response.getStatus()).isEqualTo(503);
        assertThat(response.getHeaders().get("Anvillatch-Outcome")).isEqualTo("not-run");
        assertThat(response.getHeaders().get("Anvillatch-Reason")).isEqualTo("no-configuration");
        assertThat(response.getHeaders().get("Retry-After")).isNotNull();
    }

    @Test
    void malformedRequestsAreReportedWithTheirPlace() throws Exception {
        NodeProcess node = startedNode();
        ContentResponse path = post(node.callerAddress(), "/v1/call/front", "x");
        assertThat(path.getStatus()).isEqualTo(400);
        assertThat(path.getContentAsString()).contains("/v1/call/SERVICE/OPERATION");
        ContentResponse tooLarge = post(node.callerAddress(), "/v1/call/front/read", "x".repeat(2_000_000));
        assertThat(tooLarge.getStatus()).isEqualTo(413);
        ContentResponse keys = post(node.callerAddress(), "/v1/keys?count=many", "");
        assertThat(keys.getContentAsString()).contains("count");
        ContentResponse script = post(node.operatorAddress(), "/v1/command", "shw hosts");
        assertThat(script.getStatus()).isEqualTo(422);
        assertThat(script.getContentAsString()).contains("did you mean \\\"show\\\"");
    }

    @Test
    void changesRequireTheAccessKey() throws Exception {
        NodeProcess node = startedNode();
        ContentResponse response = post(node.operatorAddress(), "/v1/command", "retry bound 3");
        assertThat(response.getStatus()).isEqualTo(403);
    }

    @Test
    void truncatedBodyIsNotServed() throws Exception {
        NodeProcess node = startedNode();
        try (Socket socket = new Socket("127.0.0.1", node.settings().ports().caller())) {
            socket.getOutputStream()
                    .write(("POST /v1/call/front/read HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nshort")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(answer).doesNotContain("200");
        }
        assertThat(metric(node, "membership_hosts")).isEqualTo(1.0);
    }

    @Test
    void gracefulShutdownExitsWithStatusZero() throws Exception {
        NodeProcess node = startedNode();
        node.send(NodeProcess.Signal.TERM);
        assertThat(node.awaitExit(20)).isEqualTo(0);
    }
}
