package org.anvillatch.node.call;

/** What shows that an endpoint has crashed. */
public enum CrashSignal {
    /** A connection that breaks before the answer is complete. */
    CONNECTION_LOST,
    /** A refused connection; single answers are lost on this kind of endpoint without a crash. */
    CONNECTION_REFUSED
}
