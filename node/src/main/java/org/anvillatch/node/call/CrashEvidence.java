package org.anvillatch.node.call;

/** What shows that an endpoint has crashed. */
public enum CrashEvidence {
    /** A connection that breaks before the answer is complete. */
    BROKEN_CONNECTION,
    /** A refused connection; single answers are lost on this kind of endpoint without a crash. */
    REFUSED_CONNECTION
}
