package org.anvillatch.node.call;

import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.model.OperationName;

/**
 * One logical call that a host routes. Immutable and thread safe.
 *
 * @param context identity within the root request
 * @param operation the operation
 * @param policy intent for the operation
 * @param body the request's bytes
 * @param key idempotency key, empty if there is none
 * @param fingerprint hash of the operation and the body
 * @param deadlineMicros time after which nobody waits, on this host's clock
 * @param retries retries that the call and everything below it may cause
 * @param reroutes times that the call may go to another host after a gatekeeper refused it, without using a retry
 * @param head head of a request that is passed on unread, or null
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
