package org.anvillatch.decision.admission;

/**
 * How an execution at an endpoint ended. Immutable and thread safe.
 */
public enum ExecutionResult {
    /** The endpoint gave a complete answer. */
    ANSWERED(false),
    /** The endpoint gave a complete answer that reports a failure; its own if none of its calls failed. */
    FAILED(false),
    /** The endpoint rejected the work without running it. */
    REJECTED(true),
    /** The deadline passed before the answer. */
    TIMED_OUT(true),
    /** The caller gave up. */
    CANCELLED(false),
    /** The connection broke: the endpoint may have crashed. */
    BROKEN(false);

    private final boolean lowersLimit;

    ExecutionResult(boolean lowersLimit) {
        this.lowersLimit = lowersLimit;
    }

    /**
     * Tells whether the endpoint failed the work by itself.
     *
     * @param called whether the execution made calls of its own, which may be why it took too long
     * @return true for a fault of the endpoint
     */
    public boolean isEndpointFault(boolean called) {
        return switch (this) {
            case ANSWERED, CANCELLED -> false;
            case FAILED, REJECTED, BROKEN -> true;
            case TIMED_OUT -> !called;
        };
    }

    /**
     * Tells whether the endpoint was given too much.
     *
     * @return true if the concurrency limit must fall
     */
    public boolean lowersLimit() {
        return lowersLimit;
    }
}
