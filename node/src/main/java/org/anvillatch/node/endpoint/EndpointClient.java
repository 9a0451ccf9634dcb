package org.anvillatch.node.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.anvillatch.node.HttpClients;
import org.anvillatch.node.KeepAliveConnector;
import org.anvillatch.node.StartException;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.memory.MemoryBudget;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Sends executions to this host's endpoint over HTTP.
 *
 * <p>Invariants: each execution's listener is called exactly once; a response that is truncated or names another
 * execution is never forwarded, and its connection is closed. Thread safe.
 */
public final class EndpointClient implements EndpointTransport {
    /** Maximum size of a response body, in bytes. */
    public static final int MAX_RESPONSE_BYTES = 2 * 1024 * 1024;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client;
    private final MemoryBudget budget;

    /**
     * Creates the client.
     *
     * @param executor executor for callbacks
     * @param scheduler scheduler for timeouts
     * @param budget account of the responses
     */
    public EndpointClient(Executor executor, Scheduler scheduler, MemoryBudget budget) {
        this(new KeepAliveConnector(), executor, scheduler, budget);
    }

    /** Creates the client with a connector, which the client starts and stops. */
    EndpointClient(KeepAliveConnector connector, Executor executor, Scheduler scheduler, MemoryBudget budget) {
        this.budget = budget;
        client = HttpClients.create(connector, executor, scheduler, CONNECT_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
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
            String executionName,
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
            headers.put(CallHeaders.CONTEXT, executionName);
            headers.put(CallHeaders.TIMEOUT, remainingMillis);
            if (!message.context().team().isEmpty()) {
                headers.put(CallHeaders.TEAM, message.context().team());
            }
            if (!message.context().traceparent().isEmpty()) {
                headers.put(CallHeaders.TRACEPARENT, message.context().traceparent());
            }
        });
        request.send(new ResponseListener(executionName, listener, new AccountedContent(budget, MAX_RESPONSE_BYTES)));
        return () -> request.abort(new EndpointFailures.AbortedException());
    }

    private static final class ResponseListener implements Response.Listener {
        private final String executionName;
        private final AnswerListener listener;
        private final AccountedContent content;

        /** Why this client has broken off the response, or null. */
        private volatile String problem;

        private ResponseListener(String executionName, AnswerListener listener, AccountedContent content) {
            this.executionName = executionName;
            this.listener = listener;
            this.content = content;
        }

        @Override
        public void onHeaders(Response response) {
            String found = findProblem(response);
            if (found != null) {
                abort(response, found);
            }
        }

        @Override
        public void onContent(Response response, ByteBuffer bytes) {
            String refusal = content.add(bytes);
            if (refusal != null) {
                abort(response, refusal);
            }
        }

        /** Breaks off a response for a reason that does not suggest that the endpoint has crashed. */
        private void abort(Response response, String reason) {
            problem = reason;
            response.abort(new IOException(reason));
        }

        /** Returns why the response must not be forwarded, or null. */
        private String findProblem(Response response) {
            String responseExecution = response.getHeaders().get(CallHeaders.CONTEXT);
            if (responseExecution != null && !responseExecution.equals(executionName)) {
                return "response names another execution";
            }
            return ResponseHeads.findProblem(response.getStatus(), response.getHeaders());
        }

        @Override
        public void onComplete(Result result) {
            EndpointAnswer answer = result.isFailed() ? toFailure(result.getFailure()) : decode(result);
            if (answer.result() != ExchangeResult.ANSWERED) {
                content.discard();
            }
            listener.completed(answer);
        }

        private EndpointAnswer decode(Result result) {
            // The head of a response with status 101 has not been reported before.
            String found = findProblem(result.getResponse());
            return found == null ? toAnswer(result) : EndpointAnswer.withoutResponse(ExchangeResult.MISMATCHED, found);
        }

        private EndpointAnswer toAnswer(Result result) {
            int status = result.getResponse().getStatus();
            String outcome = result.getResponse().getHeaders().get(CallHeaders.OUTCOME);
            boolean rejected = status == SERVICE_UNAVAILABLE && CallHeaders.NOT_RUN.equals(outcome);
            if (rejected && !result.getResponse().getHeaders().contains(CallHeaders.CONTEXT)) {
                // It may repeat the refusal of an earlier request on this connection.
                return EndpointAnswer.withoutResponse(
                        ExchangeResult.MISMATCHED, "a refusal that names no execution may be an earlier one");
            }
            String type = result.getResponse().getHeaders().get(HttpHeader.CONTENT_TYPE);
            CallBody body = content.toBody(type == null ? "" : type);
            return new EndpointAnswer(
                    rejected ? ExchangeResult.REJECTED : ExchangeResult.ANSWERED, status, List.of(), body, "", null);
        }

        private EndpointAnswer toFailure(Throwable cause) {
            ExchangeResult exchangeResult =
                    problem == null ? EndpointFailures.classify(cause) : ExchangeResult.MISMATCHED;
            return EndpointAnswer.withoutResponse(exchangeResult, String.valueOf(cause.getMessage()));
        }
    }
}
