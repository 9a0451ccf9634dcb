package org.anvillatch.node.call;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.rejection.CallProgress;
import org.anvillatch.node.peer.PeerMessage;

/**
 * A call sent to the gatekeeper of the chosen endpoint's host. Immutable and thread safe.
 *
 * @param context identity of the call within its root request
 * @param operation operation to call
 * @param idempotent whether the operation may be executed more than once
 * @param body body of the request
 * @param fingerprint hash of the operation and the body
 * @param remainingMicros time left until the deadline, in microseconds
 * @param retries maximum number of retries by nested calls
 * @param head head of a request that is forwarded unchanged, or null
 * @param notice restriction that the endpoint of the chosen host named in its latest answer to the sender, or null; it
 *     tells a restarted host what it has forgotten
 * @param progress progress of the call tree, by which the gatekeeper grants retries
 */
public record DispatchMessage(
        CallContext context,
        OperationName operation,
        boolean idempotent,
        CallBody body,
        String fingerprint,
        long remainingMicros,
        int retries,
        RequestHead head,
        EndpointNotice notice,
        CallProgress progress)
        implements PeerMessage {
    /**
     * Returns a copy of this message with another body.
     *
     * @param newBody the body
     * @return the copy
     */
    public DispatchMessage withBody(CallBody newBody) {
        return new DispatchMessage(
                context, operation, idempotent, newBody, fingerprint, remainingMicros, retries, head, notice, progress);
    }
}
