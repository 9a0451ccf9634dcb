package org.anvillatch.node.endpoint;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeoutException;

/** Tells what a failed request to an endpoint means. Stateless and thread safe. */
public final class EndpointFailures {
    private EndpointFailures() {}

    /** The caller has withdrawn the request. */
    public static final class AbortedException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception, without the cost of a stack trace. */
        public AbortedException() {
            super("the caller gave up", null, false, false);
        }
    }

    /**
     * Finds the ending of a request that failed.
     *
     * @param cause why the HTTP client failed it
     * @return {@code NOT_CONNECTED} only if nothing was sent
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
