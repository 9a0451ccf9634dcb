package org.anvillatch.testbed.endpoint;

import org.anvillatch.testbed.load.HttpSender;

/**
 * Sends the nested calls of stand-in endpoints, either through the node of the host or directly to other endpoints.
 * Implementations are thread safe.
 */
public interface NestedCallSender {
    /**
     * A nested call.
     *
     * @param endpoint the calling endpoint
     * @param context value of the header {@code Anvillatch-Context}: identity of the calling execution
     * @param number number of the call within the calling execution
     * @param root identity of the root request
     * @param attempt number of the root caller's attempt, 0 for the first
     * @param operation {@code service/operation}
     * @param body the request's body
     */
    record NestedCall(
            EndpointStandIn endpoint,
            String context,
            int number,
            String root,
            int attempt,
            String operation,
            byte[] body) {}

    /**
     * Sends a nested call.
     *
     * @param nested the call
     * @param listener receives the answer
     */
    void send(NestedCall nested, HttpSender.AnswerListener listener);
}
