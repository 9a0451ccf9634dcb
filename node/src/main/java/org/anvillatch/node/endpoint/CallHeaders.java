package org.anvillatch.node.endpoint;

/**
 * Names of the HTTP headers that callers, endpoints and nodes use. Documented in {@code docs/INTERFACES.md}.
 */
public final class CallHeaders {
    /** Identity of the root request. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Number of the caller's send, 0 for the first. */
    public static final String ATTEMPT = "Anvillatch-Attempt";

    /** Time left in milliseconds. */
    public static final String TIMEOUT = "Anvillatch-Timeout-Millis";

    /** Identity of an execution; nested calls and answers repeat it. */
    public static final String CONTEXT = "Anvillatch-Context";

    /** Place of the call within its root request. */
    public static final String CALL_PATH = "Anvillatch-Call-Path";

    /** Number of a nested call within its parent execution. */
    public static final String CALL_NUMBER = "Anvillatch-Call-Number";

    /** Outcome of a call, one of the wire names of {@link org.anvillatch.decision.model.Outcome}. */
    public static final String OUTCOME = "Anvillatch-Outcome";

    /** Reason of a refusal. */
    public static final String REASON = "Anvillatch-Reason";

    /** Idempotency key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** W3C trace context. */
    public static final String TRACEPARENT = "traceparent";

    /** Value of {@link #OUTCOME} by which an endpoint says that it did not run a request. */
    public static final String NOT_RUN = "not-run";

    private CallHeaders() {}
}
