package org.anvillatch.node.endpoint;

import java.util.List;

import org.anvillatch.node.Service;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.HeaderField;

/** Sends executions to the endpoint of this host, in the endpoint's own protocol. Implementations are thread safe. */
public interface EndpointTransport extends Service {
    /** How a request to the endpoint ended. */
    enum ExchangeResult {
        /** A complete answer has arrived. */
        ANSWERED,
        /** The endpoint says that it did not run the request. */
        REJECTED,
        /** Another endpoint has the address, and says that it did not run the request. */
        REPLACED,
        /** No connection could be made; nothing was sent. */
        NOT_CONNECTED,
        /** The deadline passed. */
        TIMED_OUT,
        /** The caller gave up. */
        ABORTED,
        /** The connection broke before the answer was complete. */
        BROKEN,
        /** The answer belongs to another execution, or is not what the endpoint wrote. */
        MISMATCHED
    }

    /**
     * What the endpoint answered. Immutable and thread safe.
     *
     * @param result how the request ended
     * @param status HTTP status, 0 if there is no answer
     * @param headers fields that are passed on unread, may be empty
     * @param body the answer's bytes
     * @param detail explanation for people
     */
    record EndpointAnswer(ExchangeResult result, int status, List<HeaderField> headers, CallBody body, String detail) {
        /**
         * Creates the ending of a request without a usable answer.
         *
         * @param ending how the request ended
         * @param detail explanation for people
         * @return the ending
         */
        public static EndpointAnswer withoutResponse(ExchangeResult ending, String detail) {
            return new EndpointAnswer(ending, 0, List.of(), CallBody.EMPTY, detail);
        }
    }

    /** Receiver of one answer; called on any thread. */
    interface AnswerListener {
        /**
         * The request has ended.
         *
         * @param answer how it ended
         */
        void ended(EndpointAnswer answer);
    }

    /**
     * Takes the bound on connections that the endpoint announced.
     *
     * @param connections connections that the endpoint accepts
     */
    void setMaxConnections(int connections);

    /**
     * Sends one execution.
     *
     * @param endpoint the endpoint that is to run it
     * @param execution identity that nested calls and the answer name
     * @param message the call
     * @param remainingMicros time left
     * @param listener receives the ending
     * @return handle that aborts the request
     */
    Runnable send(
            EndpointAnnouncement endpoint,
            String execution,
            DispatchMessage message,
            long remainingMicros,
            AnswerListener listener);
}
