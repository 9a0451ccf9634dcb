package org.anvillatch.node.endpoint;

/**
 * Names of the HTTP headers used between callers, endpoints and nodes. Documented in {@code docs/INTERFACES.md}.
 */
public final class CallHeaders {
    /** Identity of the root request. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Number of the caller's attempt, 0 for the first. */
    public static final String ATTEMPT = "Anvillatch-Attempt";

    /** Time left until the deadline, in milliseconds. */
    public static final String TIMEOUT = "Anvillatch-Timeout-Millis";

    /** Identity of an execution, repeated by its nested calls and its response. */
    public static final String CONTEXT = "Anvillatch-Context";

    /** Position of the call in the call tree of its root request. */
    public static final String CALL_PATH = "Anvillatch-Call-Path";

    /** Number of a nested call, unique within its parent execution. */
    public static final String CALL_NUMBER = "Anvillatch-Call-Number";

    /** Outcome of a call, one of the wire names of {@link org.anvillatch.decision.model.Outcome}. */
    public static final String OUTCOME = "Anvillatch-Outcome";

    /** Reason of a refusal. */
    public static final String REASON = "Anvillatch-Reason";

    /** Idempotency key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** API key of the caller's team; never forwarded. */
    public static final String API_KEY = "Anvillatch-Key";

    /** Name of the team to which the request belongs, set by the node on calls to the endpoint. */
    public static final String TEAM = "Anvillatch-Team";

    /** W3C trace context. */
    public static final String TRACEPARENT = "traceparent";

    /** Value of {@link #OUTCOME} with which an endpoint reports that it did not run a request. */
    public static final String NOT_RUN = "not-run";

    private CallHeaders() {}
}
