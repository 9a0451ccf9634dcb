package org.anvillatch.node.call;

import java.util.List;

/**
 * The head of a request that is passed on unread. Immutable and thread safe.
 *
 * @param method HTTP method
 * @param target path and query as they were received
 * @param headers fields that are meant for the endpoint
 */
public record RequestHead(String method, String target, List<HeaderField> headers) {
    /** Copies the fields. */
    public RequestHead {
        headers = List.copyOf(headers);
    }
}
