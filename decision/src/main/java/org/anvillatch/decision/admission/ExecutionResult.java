package org.anvillatch.decision.admission;

/**
 * Result of an execution at an endpoint. Immutable and thread safe.
 */
public enum ExecutionResult {
    /** The endpoint gave a complete answer. */
    ANSWERED(false),
    /** The endpoint gave a complete answer that reports a failure not caused by its nested calls. */
    FAILED(false),
    /** The endpoint rejected the work without running it. */
    REJECTED(true),
    /** The deadline passed before the answer. */
    TIMED_OUT(true),
    /** The caller cancelled the request. */
    CANCELLED(false),
    /** The connection was lost: the endpoint may have crashed. */
    BROKEN(false);

    private final boolean lowersLimit;

    ExecutionResult(boolean lowersLimit) {
        this.lowersLimit = lowersLimit;
    }

    /**
     * Returns whether the endpoint itself failed the work.
     *
     * @param called whether the execution made nested calls, which may have caused a timeout
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
     * Returns whether the result indicates that the endpoint is overloaded.
     *
     * @return true if the concurrency limit must be lowered
     */
    public boolean lowersLimit() {
        return lowersLimit;
    }
}
