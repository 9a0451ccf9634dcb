package org.anvillatch.node.call;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.node.peer.PeerMessage;

/**
 * A call given to the gatekeeper of the chosen endpoint. Immutable and thread safe.
 *
 * @param context identity within the root request
 * @param operation the operation
 * @param idempotent whether the operation may be executed more than once
 * @param body the request's bytes
 * @param fingerprint hash of the operation and the body
 * @param remainingMicros time left until nobody waits
 * @param retries retries that calls below this one may cause
 * @param head head of a request that is passed on unread, or null
 */
public record DispatchMessage(
        CallContext context,
        OperationName operation,
        boolean idempotent,
        CallBody body,
        String fingerprint,
        long remainingMicros,
        int retries,
        RequestHead head)
        implements PeerMessage {}
