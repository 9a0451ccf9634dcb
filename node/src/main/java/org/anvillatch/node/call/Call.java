package org.anvillatch.node.call;

import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.model.OperationName;

/**
 * A logical call that this host routes. Immutable and thread safe.
 *
 * @param context identity of the call within its root request
 * @param operation operation to call
 * @param policy configured policy of the operation
 * @param body body of the request
 * @param key idempotency key, empty if there is none
 * @param fingerprint hash of the operation and the body
 * @param deadlineMicros deadline in microseconds on this host's clock; after it the call is not dispatched, and an
 *     answer is awaited only for a short grace period
 * @param retries maximum number of retries by the call and its nested calls together
 * @param reroutes maximum number of times that the call is sent to another host, without using a retry, after a
 *     gatekeeper refused it
 * @param head head of a request that is forwarded unchanged, or null
 */
public record Call(
        CallContext context,
        OperationName operation,
        OperationPolicy policy,
        CallBody body,
        String key,
        String fingerprint,
        long deadlineMicros,
        int retries,
        int reroutes,
        RequestHead head) {}
