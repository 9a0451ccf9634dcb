package org.anvillatch.node.caller;

import java.nio.ByteBuffer;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.node.peer.FrameCodec;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes HTTP responses: JSON, text, problem documents (RFC 9457) and answers to calls. Stateless and thread safe.
 */
public final class HttpResponses {
    private static final ObjectMapper MAPPER = FrameCodec.configure(new ObjectMapper());
    private static final int CONFLICT = 409;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String RETRY_AFTER_SECONDS = "1";

    /**
     * Problem document, written as {@code application/problem+json}.
     *
     * @param type URN of the problem type
     * @param title short description of the problem type
     * @param status HTTP status
     * @param detail description of this problem and where it was found
     * @param outcome outcome of the request
     * @param reason why the request was refused, absent if it was not refused
     * @param firstOutcome outcome of the first attempt, present only for a duplicate
     * @param requestId identity of the root request
     * @param findings all errors found in the input
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Problem(
            String type,
            String title,
            int status,
            String detail,
            String outcome,
            String reason,
            String firstOutcome,
            String requestId,
            List<Finding> findings) {}

    private HttpResponses() {}

    /**
     * Writes an object as JSON.
     *
     * @param response response to write to
     * @param status HTTP status
     * @param value the object
     * @param callback completed after the write
     */
    public static void json(Response response, int status, Object value, Callback callback) {
        write(response, status, "application/json", value, callback);
    }

    private static void write(Response response, int status, String type, Object value, Callback callback) {
        try {
            byte[] bytes = MAPPER.writeValueAsBytes(value);
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
            response.write(true, ByteBuffer.wrap(bytes), callback);
        } catch (JsonProcessingException failure) {
            callback.failed(failure);
        }
    }

    /**
     * Writes plain text.
     *
     * @param response response to write to
     * @param text the text
     * @param callback completed after the write
     */
    public static void text(Response response, String text, Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        Content.Sink.write(response, true, text, callback);
    }

    /**
     * Writes a problem document for an invalid request, which was not run.
     *
     * @param response response to write to
     * @param status HTTP status, 400 to 499
     * @param detail description of the error and where it was found
     * @param callback completed after the write
     */
    public static void badRequest(Response response, int status, String detail, Callback callback) {
        response.getHeaders().put(CallHeaders.OUTCOME, Outcome.NOT_RUN.wireName());
        Problem problem = new Problem(
                "urn:anvillatch:problem:bad-request",
                "The request cannot be understood",
                status,
                detail,
                Outcome.NOT_RUN.wireName(),
                "bad-request",
                null,
                null,
                null);
        write(response, status, "application/problem+json", problem, callback);
    }

    /**
     * Writes the answer to a call: the endpoint's response if there is one, otherwise a problem document.
     *
     * @param response response to write to
     * @param requestId identity of the root request
     * @param answer answer to the call
     * @param callback completed after the write
     */
    public static void call(Response response, String requestId, CallAnswer answer, Callback callback) {
        response.getHeaders().put(CallHeaders.OUTCOME, answer.outcome().wireName());
        response.getHeaders().put(CallHeaders.REQUEST_ID, requestId);
        if (answer.status() != 0) {
            forwardEndpointResponse(response, answer, callback);
            return;
        }
        RefusalReason reason = answer.reason();
        if (reason != null) {
            response.getHeaders().put(CallHeaders.REASON, reason.wireName());
            if (reason.hasRetryAfter() && !response.getHeaders().contains(HttpHeader.RETRY_AFTER)) {
                response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
            }
        }
        int status = statusOf(answer);
        Problem problem = new Problem(
                "urn:anvillatch:problem:" + answer.outcome().wireName(),
                titleOf(answer.outcome()),
                status,
                answer.detail(),
                answer.outcome().wireName(),
                reason == null ? null : reason.wireName(),
                answer.firstOutcome() == null ? null : answer.firstOutcome().wireName(),
                requestId,
                null);
        write(response, status, "application/problem+json", problem, callback);
    }

    private static void forwardEndpointResponse(Response response, CallAnswer answer, Callback callback) {
        response.setStatus(answer.status());
        if (!answer.body().contentType().isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.body().contentType());
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length());
        BodyWriter.write(response, answer.body(), Callback.from(callback, answer.body()::release));
    }

    private static int statusOf(CallAnswer answer) {
        return switch (answer.outcome()) {
            case NOT_RUN -> answer.reason().status();
            case DUPLICATE -> CONFLICT;
            case COMPLETE, FAILED, UNKNOWN -> GATEWAY_TIMEOUT;
        };
    }

    private static String titleOf(Outcome outcome) {
        return switch (outcome) {
            case NOT_RUN -> "The request was not run";
            case DUPLICATE -> "An earlier attempt holds the idempotency key";
            case UNKNOWN -> "It is not known whether the request was run";
            case COMPLETE, FAILED -> "The request was run";
        };
    }
}
