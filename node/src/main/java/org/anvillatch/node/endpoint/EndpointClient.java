package org.anvillatch.node.endpoint;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.anvillatch.node.HttpClients;
import org.anvillatch.node.StartException;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Sends executions to the endpoint of this host by HTTP.
 *
 * <p>Invariants: each execution's callback is called exactly once; an answer that is truncated, or that names another
 * execution, closes its connection and is never passed on. Thread safe.
 */
public final class EndpointClient implements EndpointTransport {
    /** Largest answer that is accepted, in bytes. */
    public static final int MAX_RESPONSE_BYTES = 2 * 1024 * 1024;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long IDLE_MILLIS = 30_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client;

    /**
     * Creates the client.
     *
     * @param executor runs callbacks
     * @param scheduler runs timeouts
     */
    public EndpointClient(Executor executor, Scheduler scheduler) {
        client = HttpClients.create(executor, scheduler, CONNECT_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setUserAgentField(null);
    }

    @Override
    public void start() throws StartException {
        HttpClients.start(client, "endpoint client");
    }

    @Override
    public void stop() {
        HttpClients.stop(client, "endpoint client");
    }

    @Override
    public void setMaxConnections(int connections) {
        client.setMaxConnectionsPerDestination(connections);
        client.setMaxRequestsQueuedPerDestination(connections);
    }

    @Override
    public Runnable send(
            EndpointAnnouncement endpoint,
            String execution,
            DispatchMessage message,
            long remainingMicros,
            AnswerListener listener) {
        long remainingMillis = Math.max(1, remainingMicros / MICROS_PER_MILLI);
        Request request = client.newRequest("http://" + endpoint.address() + "/"
                        + message.operation().operation())
                .method(HttpMethod.POST)
                .timeout(remainingMillis, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(
                        message.body().contentType().isEmpty()
                                ? "application/octet-stream"
                                : message.body().contentType(),
                        message.body().content()));
        request.headers(headers -> {
            headers.put(CallHeaders.REQUEST_ID, message.context().root());
            headers.put(CallHeaders.ATTEMPT, message.context().attempt());
            headers.put(CallHeaders.CALL_PATH, message.context().path());
            headers.put(CallHeaders.CONTEXT, execution);
            headers.put(CallHeaders.TIMEOUT, remainingMillis);
            if (!message.context().traceparent().isEmpty()) {
                headers.put(CallHeaders.TRACEPARENT, message.context().traceparent());
            }
        });
        request.send(new Listener(execution, listener));
        return () -> request.abort(new EndpointFailures.AbortedException());
    }

    private static final class Listener extends BufferingResponseListener {
        private final String execution;
        private final AnswerListener listener;

        private Listener(String execution, AnswerListener listener) {
            super(MAX_RESPONSE_BYTES);
            this.execution = execution;
            this.listener = listener;
        }

        @Override
        public void onHeaders(Response response) {
            super.onHeaders(response);
            if (isMismatched(response)) {
                response.abort(new IllegalStateException("answer names another execution"));
            }
        }

        private boolean isMismatched(Response response) {
            String named = response.getHeaders().get(CallHeaders.CONTEXT);
            return named != null && !named.equals(execution);
        }

        @Override
        public void onComplete(Result result) {
            listener.ended(result.isSucceeded() ? answer(result) : failure(result));
        }

        private EndpointAnswer answer(Result result) {
            int status = result.getResponse().getStatus();
            String outcome = result.getResponse().getHeaders().get(CallHeaders.OUTCOME);
            boolean rejected = status == SERVICE_UNAVAILABLE && CallHeaders.NOT_RUN.equals(outcome);
            String type = result.getResponse().getHeaders().get(HttpHeader.CONTENT_TYPE);
            CallBody body = new CallBody(type == null ? "" : type, getContent());
            return new EndpointAnswer(
                    rejected ? ExchangeResult.REJECTED : ExchangeResult.ANSWERED, status, List.of(), body, "");
        }

        private EndpointAnswer failure(Result result) {
            Throwable cause = result.getFailure();
            boolean mismatched = result.getResponse() != null && isMismatched(result.getResponse());
            ExchangeResult ending = mismatched ? ExchangeResult.MISMATCHED : EndpointFailures.classify(cause);
            return EndpointAnswer.withoutResponse(ending, String.valueOf(cause.getMessage()));
        }
    }
}
