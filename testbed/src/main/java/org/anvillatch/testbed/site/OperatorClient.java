package org.anvillatch.testbed.site;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.node.operator.CommandAnswer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Runs operator scripts at a node and reads its metrics. Thread safe.
 */
public final class OperatorClient {
    private static final long TIMEOUT_SECONDS = 15;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param client HTTP client
     */
    public OperatorClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Runs a script.
     *
     * @param address operator address of the node
     * @param author name of the operator
     * @param script the script
     * @return the node's answer
     * @throws IOException if the node does not respond
     * @throws InterruptedException if the wait is interrupted
     */
    public CommandAnswer run(String address, String author, String script) throws IOException, InterruptedException {
        try {
            ContentResponse response = client.newRequest("http://" + address + "/v1/command?author=" + author)
                    .method(HttpMethod.POST)
                    .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .headers(headers -> headers.put("Authorization", "Bearer " + RunningSite.CHANGE_KEY))
                    .body(new StringRequestContent("text/plain", script))
                    .send();
            return MAPPER.readValue(response.getContent(), CommandAnswer.class);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IOException("node at " + address + " does not answer: " + failure.getMessage(), failure);
        }
    }

    /**
     * Reads one metric of a node.
     *
     * @param address operator address of the node
     * @param name name of the metric without the prefix {@code anvillatch_}
     * @return the value, 0 if the node has no such metric
     * @throws IOException if the node does not respond
     * @throws InterruptedException if the wait is interrupted
     */
    public double metric(String address, String name) throws IOException, InterruptedException {
        try {
            String prefix = "anvillatch_" + name + " ";
            return client.GET("http://" + address + "/metrics")
                    .getContentAsString()
                    .lines()
                    .filter(line -> line.startsWith(prefix))
                    .mapToDouble(line -> Double.parseDouble(line.substring(prefix.length())))
                    .findFirst()
                    .orElse(0);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IOException("node at " + address + " does not answer: " + failure.getMessage(), failure);
        }
    }
}
