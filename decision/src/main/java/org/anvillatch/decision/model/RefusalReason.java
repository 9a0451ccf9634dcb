package org.anvillatch.decision.model;

import java.util.Locale;

/**
 * Reason why a request was refused. Immutable and thread safe.
 */
public enum RefusalReason {
    /** The request's rank is below the shed level, the queue was full or the request exceeded its queue timeout. */
    OVERLOAD(503, true, true),
    /** The endpoint itself rejected the request and did not run it. */
    ENDPOINT_REJECTED(503, true, true),
    /** The request cannot meet its deadline. */
    DEADLINE(504, false, false),
    /** The endpoint is drained or leaving, or its host is leaving. */
    DRAINING(503, true, true),
    /** No endpoint is available for the request. */
    NO_ENDPOINT(503, true, true),
    /** The request is quarantined because it crashed endpoints or by an operator. */
    QUARANTINED(422, false, false),
    /** The attempt exceeds the number of retries that the retry bound allows to the caller. */
    RETRY_BUDGET(429, false, false),
    /** The host has received no configuration yet. */
    NO_CONFIGURATION(503, true, false),
    /** The operation is not declared, or no route matches the request. */
    UNDECLARED(404, false, false),
    /** The idempotency key could not be claimed, so the request was not run. */
    CLAIM_UNAVAILABLE(503, true, false),
    /** The caller or the parent call cancelled the request. */
    CANCELLED(499, false, false),
    /** The request carries no API key, or one that belongs to no team. */
    UNAUTHENTICATED(401, false, false),
    /** The API key of the request was moved to another team before the request started. */
    TEAM_CHANGED(503, true, false),
    /** The team has used up its allowance. */
    ALLOWANCE(429, true, false),
    /** A called service rejects so many requests that the call tree would probably fail. */
    PARTIAL_REJECTION(503, true, false);

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
     * Returns whether a later retry by the caller may succeed.
     *
     * @return true if the answer carries {@code Retry-After}
     */
    public boolean hasRetryAfter() {
        return retryAfter;
    }

    /**
     * Returns whether another endpoint of the service may accept the same request now.
     *
     * @return true if the request may be re-routed
     */
    public boolean permitsAnotherEndpoint() {
        return anotherEndpoint;
    }

    /**
     * Returns the name used on the wire and in logs.
     *
     * @return lower-case words joined by hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
