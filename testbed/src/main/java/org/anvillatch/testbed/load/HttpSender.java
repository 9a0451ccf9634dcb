package org.anvillatch.testbed.load;

import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import org.anvillatch.node.endpoint.CallHeaders;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportDynamic;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Sends the root requests of stand-in callers and the nested calls of stand-in endpoints by HTTP. Thread safe.
 */
public final class HttpSender implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int SUCCESS_LIMIT = 300;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SELECTORS = 2;

    private final HttpClient client;

    /**
     * The answer to a call.
     *
     * @param outcome wire name of the outcome; derived from the status if the response has no outcome header, and
     *     from the failure if there was no response
     * @param reason reason for a refusal, or null
     * @param status HTTP status, 0 if there was no response
     * @param body the body of the response
     */
    public record Answer(String outcome, String reason, int status, byte[] body) {}

    /** Receives one answer, on any thread. */
    public interface AnswerListener {
        /**
         * Called when the call has ended.
         *
         * @param answer the answer
         */
        void onAnswer(Answer answer);
    }

    /**
     * Creates and starts a sender.
     *
     * @param threads thread pool for callbacks
     * @param scheduler schedules timeouts
     * @param maxConnections maximum number of connections to one address
     * @throws Exception if the client cannot start
     */
    public HttpSender(QueuedThreadPool threads, Scheduler scheduler, int maxConnections) throws Exception {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setExecutor(threads);
        connector.setScheduler(scheduler);
        client = new HttpClient(new HttpClientTransportDynamic(connector));
        client.setExecutor(threads);
        client.setScheduler(scheduler);
        client.setMaxConnectionsPerDestination(maxConnections);
        client.setMaxRequestsQueuedPerDestination(maxConnections * 100);
        client.setUserAgentField(null);
        client.start();
        client.getContentDecoderFactories().clear();
    }

    /**
     * Sends a POST request.
     *
     * @param url URL of the request
     * @param headers request headers
     * @param body request body
     * @param timeoutMillis maximum wait for the response, in milliseconds
     * @param listener receives the answer
     */
    public void post(
            String url, Map<String, String> headers, byte[] body, long timeoutMillis, AnswerListener listener) {
        Request request = client.newRequest(url)
                .method(HttpMethod.POST)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent("text/plain", body));
        request.headers(fields -> headers.forEach(fields::put));
        request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                listener.onAnswer(toAnswer(result, getContent()));
            }
        });
    }

    private static Answer toAnswer(Result result, byte[] content) {
        if (result.isFailed()) {
            boolean neverSent = result.getFailure() instanceof ConnectException
                    || result.getFailure() instanceof RejectedExecutionException;
            return new Answer(neverSent ? "not-run" : "unknown", neverSent ? "unreachable" : null, 0, new byte[0]);
        }
        int status = result.getResponse().getStatus();
        String outcome = result.getResponse().getHeaders().get(CallHeaders.OUTCOME);
        String reason = result.getResponse().getHeaders().get(CallHeaders.REASON);
        return new Answer(outcome == null ? outcomeOf(status) : outcome, reason, status, content);
    }

    private static String outcomeOf(int status) {
        if (status < SUCCESS_LIMIT) {
            return "complete";
        }
        if (status == SERVICE_UNAVAILABLE) {
            return "not-run";
        }
        return status >= SERVER_ERROR ? "failed" : "not-run";
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }
}
