package org.anvillatch.node.endpoint;

import java.util.List;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.node.Service;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.HeaderField;

/** Sends executions to this host's endpoint, in the endpoint's own protocol. Implementations are thread safe. */
public interface EndpointTransport extends Service {
    /** Result of a request to the endpoint. */
    enum ExchangeResult {
        /** A complete response was received. */
        ANSWERED,
        /** The endpoint reported that it did not run the request. */
        REJECTED,
        /** Another endpoint uses the address, and reported that it did not run the request. */
        REPLACED,
        /** No connection could be established; nothing was sent. */
        NOT_CONNECTED,
        /** The deadline passed before the response was complete. */
        TIMED_OUT,
        /** The call was cancelled. */
        ABORTED,
        /** The connection was lost before the response was complete. */
        BROKEN,
        /** The response belongs to another execution, or differs from what the endpoint sent. */
        MISMATCHED;

        /**
         * Returns whether an endpoint reported that it did not run the request.
         *
         * @return true if the result promises that the request was not run
         */
        public boolean isRefusal() {
            return this == REJECTED || this == REPLACED;
        }
    }

    /**
     * Answer of the endpoint, or the reason why there is none. Immutable and thread safe.
     *
     * @param result result of the request
     * @param status HTTP status, 0 if there is no response
     * @param headers header fields that are forwarded unchanged, may be empty
     * @param body body of the response
     * @param detail human-readable explanation
     * @param notice what the endpoint says about itself in the response, null if there is no response of this endpoint
     */
    record EndpointAnswer(
            ExchangeResult result,
            int status,
            List<HeaderField> headers,
            CallBody body,
            String detail,
            EndpointNotice notice) {
        /**
         * Creates the answer for a request without a usable response.
         *
         * @param result result of the request
         * @param detail human-readable explanation
         * @return the answer
         */
        public static EndpointAnswer withoutResponse(ExchangeResult result, String detail) {
            return new EndpointAnswer(result, 0, List.of(), CallBody.EMPTY, detail, null);
        }

        /**
         * Returns a copy of this answer with the endpoint's notice.
         *
         * @param newNotice what the endpoint says about itself in the response
         * @return the copy
         */
        public EndpointAnswer withNotice(EndpointNotice newNotice) {
            return new EndpointAnswer(result, status, headers, body, detail, newNotice);
        }
    }

    /** Receives the answer to one request. Called on any thread. */
    interface AnswerListener {
        /**
         * Called once when the request has ended.
         *
         * @param answer answer of the endpoint, or the reason why there is none
         */
        void completed(EndpointAnswer answer);
    }

    /**
     * Sets the maximum number of connections, as announced by the endpoint.
     *
     * @param connections number of connections that the endpoint accepts
     */
    void setMaxConnections(int connections);

    /**
     * Sends one execution.
     *
     * @param endpoint endpoint that is to run it
     * @param executionName identity of the execution, repeated by its nested calls and its response
     * @param message the call
     * @param remainingMicros time left until the deadline, in microseconds
     * @param listener receives the answer
     * @return handle that aborts the request
     */
    Runnable send(
            EndpointAnnouncement endpoint,
            String executionName,
            DispatchMessage message,
            long remainingMicros,
            AnswerListener listener);
}
