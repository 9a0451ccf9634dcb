package org.anvillatch.testbed.endpoint;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.testbed.load.HttpSender;

/**
 * Sends nested calls through the node of the calling endpoint's host. Thread safe.
 */
public final class NodeNestedCallSender implements NestedCallSender {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final HttpSender sender;
    private final Map<String, String> nodeAddresses = new ConcurrentHashMap<>();

    /**
     * Creates a sender.
     *
     * @param sender HTTP sender
     */
    public NodeNestedCallSender(HttpSender sender) {
        this.sender = sender;
    }

    /**
     * Sets the address of an endpoint's node.
     *
     * @param endpoint name of the endpoint
     * @param address endpoint address of its node
     */
    public void setNodeAddress(String endpoint, String address) {
        nodeAddresses.put(endpoint, address);
    }

    @Override
    public void send(NestedCall nested, HttpSender.AnswerListener listener) {
        String address = nodeAddresses.get(nested.endpoint().name());
        Map<String, String> headers = Map.of(
                CallHeaders.CONTEXT, nested.context(), CallHeaders.CALL_NUMBER, Integer.toString(nested.number()));
        sender.post(
                "http://" + address + "/v1/call/" + nested.operation(),
                headers,
                nested.body(),
                TIMEOUT_MILLIS,
                listener);
    }
}
