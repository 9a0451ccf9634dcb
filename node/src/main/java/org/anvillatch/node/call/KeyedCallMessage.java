package org.anvillatch.node.call;

import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.node.peer.PeerMessage;

/**
 * A call with an idempotency key, forwarded to the host that owns the key. Immutable and thread safe.
 *
 * @param context identity of the call within its root request
 * @param operation operation to call
 * @param policy configured policy of the operation
 * @param body body of the request
 * @param key idempotency key
 * @param fingerprint hash of the operation and the body
 * @param remainingMicros time left until the deadline, in microseconds
 * @param retries maximum number of retries by the call and its nested calls together
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
