package org.anvillatch.decision.model;

import java.util.Locale;

/**
 * Why a request was refused. Immutable and thread safe.
 */
public enum RefusalReason {
    /** The shed level or the queue bound excluded the request. */
    OVERLOAD(503, true, true),
    /** The endpoint itself rejected the request; it was sent and not run. */
    ENDPOINT_REJECTED(503, true, true),
    /** The remaining time is shorter than the expected execution. */
    DEADLINE(504, false, false),
    /** The endpoint or its host is leaving. */
    DRAINING(503, true, true),
    /** The host has no endpoint that is ready. */
    NO_ENDPOINT(503, true, true),
    /** The request is quarantined because it crashed endpoints. */
    QUARANTINED(422, false, false),
    /** The retries of the root request are spent. */
    RETRY_BUDGET(429, false, false),
    /** No configuration is known yet. */
    NO_CONFIGURATION(503, true, false),
    /** The service or operation is not declared. */
    UNDECLARED(404, false, false),
    /** The key's first attempt cannot be established now. */
    CLAIM_UNAVAILABLE(503, true, false),
    /** The caller or the parent call gave up. */
    CANCELLED(499, false, false);

    private final int status;
    private final boolean retryAfter;
    private final boolean anotherEndpoint;

    RefusalReason(int status, boolean retryAfter, boolean anotherEndpoint) {
        this.status = status;
        this.retryAfter = retryAfter;
        this.anotherEndpoint = anotherEndpoint;
    }

    /**
     * Returns the HTTP status of an answer with this reason.
     *
     * @return status code
     */
    public int status() {
        return status;
    }

    /**
     * Tells whether the caller may usefully try again later.
     *
     * @return true if the answer carries {@code Retry-After}
     */
    public boolean hasRetryAfter() {
        return retryAfter;
    }

    /**
     * Tells whether another endpoint of the service may accept the same request now.
     *
     * @return true if a re-route makes sense
     */
    public boolean permitsAnotherEndpoint() {
        return anotherEndpoint;
    }

    /**
     * Returns the name used on the wire and in logs.
     *
     * @return lower case words joined by a hyphen
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
