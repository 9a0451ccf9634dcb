package org.anvillatch.node.call;

import java.util.List;

/**
 * Head of a request that is forwarded unchanged. Immutable and thread safe.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param headers header fields to forward to the endpoint
 */
public record RequestHead(String method, String target, List<HeaderField> headers) {
    /** Makes an immutable copy of the header fields. */
    public RequestHead {
        headers = List.copyOf(headers);
    }
}
