package org.anvillatch.decision.drain;

/**
 * Life of an endpoint as its own host sees it. Immutable and thread safe.
 */
public enum EndpointPhase {
    /** No endpoint has announced itself. */
    ABSENT(false),
    /** The endpoint takes new work. */
    SERVING(true),
    /** The endpoint fails part of its work; it gets new work only while others have no room. */
    FAILING(true),
    /** An operator has drained the endpoint; it may return. */
    DRAINED(false),
    /** The endpoint said that it is leaving; it only finishes what runs. */
    LEAVING(false),
    /** The endpoint stopped its heartbeats or its connections break. */
    SILENT(false);

    private final boolean takesNewWork;

    EndpointPhase(boolean takesNewWork) {
        this.takesNewWork = takesNewWork;
    }

    /**
     * Tells whether new executions may start.
     *
     * @return true only while serving
     */
    public boolean takesNewWork() {
        return takesNewWork;
    }

    /**
     * Returns the phase after an operator's drain or return.
     *
     * @param drain true to drain, false to return
     * @return the next phase; leaving and absent endpoints are not changed
     */
    public EndpointPhase drained(boolean drain) {
        if (drain) {
            return takesNewWork ? DRAINED : this;
        }
        return this == DRAINED ? SERVING : this;
    }
}
