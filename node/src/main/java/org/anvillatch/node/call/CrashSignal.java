package org.anvillatch.node.call;

/** Event that is taken as a crash of the endpoint. */
public enum CrashSignal {
    /** A connection is lost before the response is complete. */
    CONNECTION_LOST,
    /**
     * No new connection can be established, or another endpoint uses the address. For endpoints that may lose single
     * responses without having crashed.
     */
    CONNECTION_REFUSED
}
