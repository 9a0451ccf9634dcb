package org.anvillatch.decision.drain;

/**
 * Life cycle phase of an endpoint as its own host sees it. Immutable and thread safe.
 */
public enum EndpointPhase {
    /** No endpoint has announced itself. */
    ABSENT(false),
    /** The endpoint accepts new work. */
    SERVING(true),
    /** The endpoint fails some of its work; it gets new work only while no other endpoint has a free slot. */
    FAILING(true),
    /** An operator has drained the endpoint; it may be returned to service. */
    DRAINED(false),
    /** The endpoint reported that it is leaving; it only finishes the work that already runs. */
    LEAVING(false),
    /** The endpoint stopped sending heartbeats or its connections are lost. */
    SILENT(false);

    private final boolean takesNewWork;

    EndpointPhase(boolean takesNewWork) {
        this.takesNewWork = takesNewWork;
    }

    /**
     * Returns whether new executions may start.
     *
     * @return true while serving, also if failing
     */
    public boolean takesNewWork() {
        return takesNewWork;
    }

    /**
     * Returns the phase after an operator drained the endpoint or returned it to service.
     *
     * @param drain true to drain, false to return
     * @return the next phase; a drain changes only phases that accept new work, a return only {@link #DRAINED}
     */
    public EndpointPhase drained(boolean drain) {
        if (drain) {
            return takesNewWork ? DRAINED : this;
        }
        return this == DRAINED ? SERVING : this;
    }
}
