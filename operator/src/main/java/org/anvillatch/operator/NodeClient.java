package org.anvillatch.operator;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends scripts to the operator address of a node. Not thread safe.
 */
final class NodeClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 15;

    /** Maximum size of a response's head or of its trailers, in bytes; Jetty's client has no limit by default. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 32 * 1024;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpClient client = new HttpClient();
    private final String address;
    private final String key;
    private final String author;

    NodeClient(String address, String key, String author) throws IOException {
        this.address = address;
        this.key = key;
        this.author = author;
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IOException("HTTP client cannot start: " + failure.getMessage(), failure);
        }
    }

    CommandResult run(String script, boolean dryRun) throws IOException, InterruptedException {
        String url = "http://" + address + "/v1/command?author=" + URLEncoder.encode(author, StandardCharsets.UTF_8)
                + "&dryRun=" + dryRun;
        try {
            ContentResponse response = client.newRequest(url)
                    .method(HttpMethod.POST)
                    .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .headers(headers -> headers.put("Authorization", "Bearer " + key))
                    .body(new StringRequestContent("text/plain", script))
                    .send();
            return MAPPER.readValue(response.getContent(), CommandResult.class);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IOException("node at " + address + " does not answer: " + failure.getMessage(), failure);
        }
    }

    static String toJson(CommandResult result) throws IOException {
        return MAPPER.writeValueAsString(result);
    }

    @Override
    public void close() throws IOException {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IOException("HTTP client does not stop: " + failure.getMessage(), failure);
        }
    }
}
