package org.anvillatch.testbed.endpoint;

import org.anvillatch.testbed.load.HttpSender;

/**
 * How a stand-in endpoint makes nested calls: through its host's node, or straight to other endpoints. Implementations
 * are thread safe.
 */
public interface NestedCallSender {
    /**
     * A nested call.
     *
     * @param endpoint the calling endpoint
     * @param context value of {@code Anvillatch-Context}, empty without the system
     * @param number number of the call within its execution
     * @param root identity of the root request
     * @param attempt number of the caller's send
     * @param operation {@code service/operation}
     * @param body the request's bytes
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
     * Makes a nested call.
     *
     * @param nested the call
     * @param listener receives the answer
     */
    void send(NestedCall nested, HttpSender.AnswerListener listener);
}
