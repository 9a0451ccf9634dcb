package org.anvillatch.node.endpoint;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeoutException;

/** Classifies failed requests to an endpoint. Stateless and thread safe. */
public final class EndpointFailures {
    private EndpointFailures() {}

    /** Signals that a request was aborted because its call was cancelled. */
    public static final class AbortedException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception without a stack trace, to save its cost. */
        public AbortedException() {
            super("the call was cancelled", null, false, false);
        }
    }

    /**
     * Classifies a failed request.
     *
     * @param cause failure reported by the HTTP client
     * @return result of the request; {@code NOT_CONNECTED} only if nothing was sent
     */
    public static EndpointTransport.ExchangeResult classify(Throwable cause) {
        if (cause instanceof AbortedException) {
            return EndpointTransport.ExchangeResult.ABORTED;
        }
        if (cause instanceof ConnectException
                || cause instanceof SocketTimeoutException
                || cause instanceof RejectedExecutionException) {
            return EndpointTransport.ExchangeResult.NOT_CONNECTED;
        }
        return cause instanceof TimeoutException
                ? EndpointTransport.ExchangeResult.TIMED_OUT
                : EndpointTransport.ExchangeResult.BROKEN;
    }
}
