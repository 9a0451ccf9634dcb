package org.anvillatch.decision.model;

import java.util.Locale;

/**
 * What a caller is told about one request. Immutable and thread safe.
 *
 * <p>Invariant: {@link #NOT_RUN} is used only when no endpoint has run, or will ever run, this attempt.
 */
public enum Outcome {
    /** The endpoint ran the request and its complete answer is passed on. */
    COMPLETE(true),
    /** No endpoint ran the request. */
    NOT_RUN(false),
    /** The effect of this idempotency key was already claimed by an earlier attempt. */
    DUPLICATE(false),
    /** The endpoint ran the request and failed. */
    FAILED(true),
    /** The request was dispatched and nothing is known about its execution. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether this attempt may have been executed by an endpoint.
     *
     * @return false only if it certainly was not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether another endpoint may be tried after this outcome.
     *
     * @param idempotent whether the operation may be executed more than once
     * @return true if a retry cannot duplicate an effect and may succeed
     */
    public boolean permitsRetry(boolean idempotent) {
        return switch (this) {
            case NOT_RUN -> true;
            case UNKNOWN -> idempotent;
            case COMPLETE, DUPLICATE, FAILED -> false;
        };
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
