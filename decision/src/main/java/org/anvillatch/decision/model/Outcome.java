package org.anvillatch.decision.model;

import java.util.Locale;

/**
 * Outcome of one request as reported to its caller. Immutable and thread safe.
 *
 * <p>Invariant: {@link #NOT_RUN} is reported only if no endpoint has run, or will ever run, this attempt.
 */
public enum Outcome {
    /** The endpoint ran the request and its complete answer is forwarded. */
    COMPLETE(true),
    /** No endpoint ran the request. */
    NOT_RUN(false),
    /** An earlier attempt already claimed the idempotency key. */
    DUPLICATE(false),
    /** The endpoint ran the request and failed. */
    FAILED(true),
    /** The request was dispatched and it is not known whether it was executed. */
    UNKNOWN(true);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether this attempt may have been executed by an endpoint.
     *
     * @return false only if it certainly was not
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns whether the request may be sent to another endpoint after this outcome.
     *
     * @param idempotent whether the operation may be executed more than once
     * @return true if a retry may succeed and cannot cause a second execution of a non-idempotent operation
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
     * @return lower-case words joined by hyphens
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
