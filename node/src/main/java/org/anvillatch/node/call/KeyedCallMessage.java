package org.anvillatch.node.call;

import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.node.peer.PeerMessage;

/**
 * A call with an idempotency key, given to the host that issued the key. Immutable and thread safe.
 *
 * @param context identity within the root request
 * @param operation the operation
 * @param policy intent for the operation
 * @param body the request's bytes
 * @param key the key
 * @param fingerprint hash of the operation and the body
 * @param remainingMicros time left until nobody waits
 * @param retries retries that the call may cause
 */
public record KeyedCallMessage(
        CallContext context,
        OperationName operation,
        OperationPolicy policy,
        CallBody body,
        String key,
        String fingerprint,
        long remainingMicros,
        int retries)
        implements PeerMessage {}
