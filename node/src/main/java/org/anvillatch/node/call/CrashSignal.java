package org.anvillatch.node.call;

/** Connection failure that is taken as a crash of the endpoint. */
public enum CrashSignal {
    /** A connection is lost before the response is complete. */
    CONNECTION_LOST,
    /** A connection is refused. For endpoints that can lose the connection of a single response without crashing. */
    CONNECTION_REFUSED
}
