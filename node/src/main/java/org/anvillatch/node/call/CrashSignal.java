package org.anvillatch.node.call;

/** Connection failure that is taken as a crash of the endpoint. */
public enum CrashSignal {
    /** A connection is lost before the response is complete. */
    CONNECTION_LOST,
    /** A connection is refused. For endpoints that may lose single responses without having crashed. */
    CONNECTION_REFUSED
}
