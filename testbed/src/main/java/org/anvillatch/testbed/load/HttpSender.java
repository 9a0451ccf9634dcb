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
 * Sends calls by HTTP for stand-in callers and for nested calls of stand-in endpoints. Thread safe.
 */
public final class HttpSender implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int SUCCESS_LIMIT = 300;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SELECTORS = 2;

    private final HttpClient client;

    /**
     * What came back.
     *
     * @param outcome wire name of the outcome; without the system's header it is derived from the status
     * @param reason reason of a refusal, may be null
     * @param status HTTP status, 0 if there is no answer
     * @param body the answer's bytes
     */
    public record Answer(String outcome, String reason, int status, byte[] body) {}

    /** Receiver of one answer; called on any thread. */
    public interface AnswerListener {
        /**
         * The call has ended.
         *
         * @param answer what came back
         */
        void onAnswer(Answer answer);
    }

    /**
     * Creates and starts a sender.
     *
     * @param threads runs callbacks
     * @param scheduler runs timeouts
     * @param connections most connections to one address
     * @throws Exception if the client cannot start
     */
    public HttpSender(QueuedThreadPool threads, Scheduler scheduler, int connections) throws Exception {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setExecutor(threads);
        connector.setScheduler(scheduler);
        client = new HttpClient(new HttpClientTransportDynamic(connector));
        client.setExecutor(threads);
        client.setScheduler(scheduler);
        client.setMaxConnectionsPerDestination(connections);
        client.setMaxRequestsQueuedPerDestination(connections * 100);
        client.setUserAgentField(null);
        client.start();
        client.getContentDecoderFactories().clear();
    }

    /**
     * Posts a body.
     *
     * @param url where to
     * @param headers request headers
     * @param body the bytes
     * @param timeoutMillis longest wait for the answer
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
