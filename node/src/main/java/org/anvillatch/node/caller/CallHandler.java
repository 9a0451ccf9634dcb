package org.anvillatch.node.caller;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.idempotency.IssuedKey;
import org.anvillatch.decision.idempotency.KeyClaims;
import org.anvillatch.decision.idempotency.UuidV7Key;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.retry.RetryBudget;
import org.anvillatch.decision.team.TeamDirectory;
import org.anvillatch.node.call.Call;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.CallDecisionRecorder;
import org.anvillatch.node.call.CallRouter;
import org.anvillatch.node.call.Fingerprint;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.call.IdempotencyService;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.node.listener.RequestBodies;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.team.TeamAdmission;
import org.anvillatch.node.team.TeamIdentity;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves calls over HTTP: root requests from callers, and nested calls from this host's own endpoint. The interface is
 * described in {@code docs/INTERFACES.md}. Thread safe; decisions run on the decision loop.
 */
public final class CallHandler extends Handler.Abstract.NonBlocking {
    /** Maximum size of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    /** Maximum length of a request's identity, in characters. */
    public static final int MAX_REQUEST_ID_CHARS = 128;

    private static final String PATH_PREFIX = "/v1/call/";
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final CallRouter router;
    private final IdempotencyService idempotencyService;
    private final GatekeeperService gatekeeperService;
    private final CallDecisionRecorder decisions;
    private final TeamAdmission teamAdmission;
    private final Timer timer;
    private final AtomicLong nextRequest = new AtomicLong();
    private volatile boolean draining;

    private record Exchange(Request request, Response response, Callback callback, OperationName operation) {}

    /**
     * Creates the handler.
     *
     * @param loop loop that runs decisions
     * @param state decision state of this host
     * @param router routes calls without an idempotency key
     * @param idempotencyService runs calls with an idempotency key
     * @param gatekeeperService finds the parent executions of nested calls
     * @param decisions records every answer
     * @param metrics registry for the duration of calls
     */
    public CallHandler(
            DecisionLoop loop,
            HostState state,
            CallRouter router,
            IdempotencyService idempotencyService,
            GatekeeperService gatekeeperService,
            CallDecisionRecorder decisions,
            MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.router = router;
        this.idempotencyService = idempotencyService;
        this.gatekeeperService = gatekeeperService;
        this.decisions = decisions;
        this.teamAdmission = new TeamAdmission(loop, state, metrics);
        this.timer = metrics.timer("calls.duration");
    }

    /**
     * Returns the admission of teams' requests.
     *
     * @return the admission, owned by the loop
     */
    public TeamAdmission teamAdmission() {
        return teamAdmission;
    }

    /** Refuses all further root requests. */
    public void refuseRootRequests() {
        draining = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PATH_PREFIX)) {
            return false;
        }
        String[] pathSegments = path.substring(PATH_PREFIX.length()).split("/", -1);
        if (pathSegments.length != 2 || pathSegments[0].isEmpty() || pathSegments[1].isEmpty()) {
            String detail = "path \"" + path + "\" is not " + PATH_PREFIX + "SERVICE/OPERATION";
            HttpResponses.badRequest(response, BAD_REQUEST, detail, callback);
        } else if (!request.getMethod().equals("POST")) {
            response.getHeaders().put(HttpHeader.ALLOW, "POST");
            HttpResponses.badRequest(response, METHOD_NOT_ALLOWED, "method must be POST", callback);
        } else if (request.getLength() > MAX_BODY_BYTES) {
            rejectTooLarge(response, callback);
        } else {
            readBody(new Exchange(request, response, callback, new OperationName(pathSegments[0], pathSegments[1])));
        }
        return true;
    }

    private static void rejectTooLarge(Response response, Callback callback) {
        String detail = "body is longer than " + MAX_BODY_BYTES + " bytes";
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        HttpResponses.badRequest(response, CONTENT_TOO_LARGE, detail, callback);
    }

    private void readBody(Exchange exchange) {
        RequestBodies.read(exchange.request(), MAX_BODY_BYTES).whenComplete((content, failure) -> {
            if (failure == null) {
                loop.execute(() -> handleOnLoop(exchange, content));
            } else if (failure instanceof IllegalStateException) {
                rejectTooLarge(exchange.response(), exchange.callback());
            } else {
                exchange.response().getHeaders().put(CallHeaders.OUTCOME, Outcome.NOT_RUN.wireName());
                if (!RequestBodies.refuseIfExhausted(failure, exchange.response(), exchange.callback())) {
                    exchange.callback().failed(failure);
                }
            }
        });
    }

    private void handleOnLoop(Exchange exchange, byte[] content) {
        try {
            String type = exchange.request().getHeaders().get(HttpHeader.CONTENT_TYPE);
            CallBody body = new CallBody(type == null ? "" : type, content);
            String context = exchange.request().getHeaders().get(CallHeaders.CONTEXT);
            if (context == null) {
                handleRoot(exchange, body);
            } else {
                handleNested(exchange, context, body);
            }
        } catch (HeaderException problem) {
            HttpResponses.badRequest(exchange.response(), BAD_REQUEST, problem.getMessage(), exchange.callback());
        }
    }

    private void handleRoot(Exchange exchange, CallBody body) throws HeaderException {
        String root = requestId(exchange.request());
        int attempt = (int) number(exchange.request(), CallHeaders.ATTEMPT, 0, 0, Short.MAX_VALUE);
        TeamIdentity caller = identify(exchange.request());
        RefusalReason refusal = rootRefusal(exchange.operation(), attempt, caller);
        if (refusal != null) {
            refuse(exchange, root, refusal);
            return;
        }
        Configuration configuration = state.configuration().current();
        OperationPolicy policy = configuration.policy(exchange.operation());
        int importance = state.routes().importanceOf(caller.team(), configuration.importance(policy));
        int rank = Rank.of(importance, root);
        String traceparent = header(exchange.request(), CallHeaders.TRACEPARENT);
        CallContext context = new CallContext(
                root, attempt, root, rank, !policy.idempotent(), traceparent, caller.team(), caller.keyId());
        int retries = RetryBudget.shareOfAttempt(configuration.retryBound(), attempt);
        run(exchange, context, policy, body, policy.deadlineMillis() * MICROS_PER_MILLI, retries, null);
    }

    /** Identifies the team of a root request; returns null if the request lacks a valid key. */
    private TeamIdentity identify(Request request) {
        TeamDirectory teams = state.routes().teams();
        return teams.isEmpty() ? TeamIdentity.NONE : TeamIdentity.find(teams, header(request, CallHeaders.API_KEY));
    }

    private RefusalReason rootRefusal(OperationName operation, int attempt, TeamIdentity caller) {
        if (draining) {
            return RefusalReason.DRAINING;
        }
        if (!state.configuration().isKnown()) {
            return RefusalReason.NO_CONFIGURATION;
        }
        if (caller == null) {
            teamAdmission.recordUnauthenticated();
            return RefusalReason.UNAUTHENTICATED;
        }
        Configuration configuration = state.configuration().current();
        if (configuration.policy(operation) == null) {
            return RefusalReason.UNDECLARED;
        }
        boolean exhausted = RetryBudget.shareOfAttempt(configuration.retryBound(), attempt) < 0;
        return exhausted ? RefusalReason.RETRY_BUDGET : null;
    }

    private void handleNested(Exchange exchange, String executionName, CallBody body) throws HeaderException {
        GatekeeperService.Execution parent = gatekeeperService.find(executionName);
        if (parent == null) {
            String detail = CallHeaders.CONTEXT + " \"" + executionName
                    + "\" does not identify an execution running on this host";
            HttpResponses.badRequest(exchange.response(), CONFLICT, detail, exchange.callback());
            return;
        }
        CallContext parentContext = parent.message().context();
        OperationPolicy policy = state.configuration().current().policy(exchange.operation());
        if (policy == null) {
            refuse(exchange, parentContext.root(), RefusalReason.UNDECLARED);
            return;
        }
        String givenNumber = exchange.request().getHeaders().get(CallHeaders.CALL_NUMBER);
        String callNumber = parent.reserveCallNumber(givenNumber);
        if (callNumber == null) {
            String detail = CallHeaders.CALL_NUMBER + " \"" + givenNumber + "\" was already used by this execution";
            HttpResponses.badRequest(exchange.response(), CONFLICT, detail, exchange.callback());
            return;
        }
        CallContext context = new CallContext(
                parentContext.root(),
                parentContext.attempt(),
                parent.name() + ":" + callNumber,
                parentContext.rank(),
                parentContext.atMostOnce() && !policy.idempotent(),
                parentContext.traceparent(),
                parentContext.team(),
                "");
        long remaining = parent.deadlineMicros() - loop.nowMicros();
        run(exchange, context, policy, body, remaining, parent.budget().takeShare(), parent);
    }

    private void run(
            Exchange exchange,
            CallContext context,
            OperationPolicy policy,
            CallBody body,
            long maxMicros,
            int retries,
            GatekeeperService.Execution parent)
            throws HeaderException {
        long maxMillis = Math.max(1, maxMicros / MICROS_PER_MILLI);
        long timeoutMillis = number(exchange.request(), CallHeaders.TIMEOUT, maxMillis, 1, Integer.MAX_VALUE);
        long deadline = loop.nowMicros() + Math.min(maxMicros, timeoutMillis * MICROS_PER_MILLI);
        String key = idempotencyKey(exchange.request(), policy, context);
        String fingerprint = Fingerprint.of(exchange.operation().toString(), body);
        Call call = new Call(context, exchange.operation(), policy, body, key, fingerprint, deadline, retries, 0, null);
        if (parent != null) {
            start(exchange, call, parent, TeamAdmission.UNCOUNTED);
            return;
        }
        teamAdmission.admit(context.team(), permit -> {
            if (permit.verdict().isGranted()) {
                start(exchange, call, null, permit);
            } else {
                long seconds = (permit.verdict().retryMicros() + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND;
                exchange.response().getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
                refuse(exchange, context.root(), RefusalReason.ALLOWANCE);
            }
        });
    }

    private void start(Exchange exchange, Call call, GatekeeperService.Execution parent, TeamAdmission.Permit permit) {
        long startedNanos = System.nanoTime();
        Consumer<CallAnswer> reply = answer -> {
            permit.recordOutcome(answer.outcome());
            finish(exchange, call, answer, parent, startedNanos);
        };
        if (!call.key().isEmpty()) {
            idempotencyService.run(call, reply);
        } else {
            CallRouter.RoutedCall routedCall = router.route(call, reply);
            if (parent != null) {
                parent.addNestedCall(routedCall);
            }
        }
    }

    private static String idempotencyKey(Request request, OperationPolicy policy, CallContext context)
            throws HeaderException {
        String key = header(request, CallHeaders.IDEMPOTENCY_KEY);
        if (policy.idempotent()) {
            return "";
        }
        if (key.isEmpty()) {
            if (context.atMostOnce() && !context.path().equals(context.root())) {
                // No ancestor can be executed twice, so the call needs no key.
                return "";
            }
            throw new HeaderException(CallHeaders.IDEMPOTENCY_KEY
                    + " is required: the operation is not idempotent. POST /v1/keys issues keys");
        }
        if (IssuedKey.parse(key).isEmpty()) {
            checkChosenKey(key);
        }
        return key;
    }

    private static void checkChosenKey(String key) throws HeaderException {
        OptionalLong creationMillis = UuidV7Key.timeMillis(key);
        if (creationMillis.isEmpty()) {
            throw new HeaderException(CallHeaders.IDEMPOTENCY_KEY + " \"" + key
                    + "\" is neither a key issued by POST /v1/keys nor a lower-case UUID of version 7");
        }
        if (creationMillis.getAsLong() > System.currentTimeMillis() + KeyClaims.MAX_CLOCK_SKEW_MILLIS) {
            throw new HeaderException(CallHeaders.IDEMPOTENCY_KEY + " \"" + key + "\" has a timestamp in the future");
        }
    }

    private void finish(
            Exchange exchange, Call call, CallAnswer answer, GatekeeperService.Execution parent, long startedNanos) {
        timer.update(System.nanoTime() - startedNanos, TimeUnit.NANOSECONDS);
        if (parent != null) {
            parent.budget().returnUnspent(answer.unspentRetries());
            gatekeeperService.recordNestedAnswer(parent, call.operation(), answer);
        }
        record(call, answer);
        HttpResponses.call(exchange.response(), call.context().root(), answer, exchange.callback());
    }

    private void refuse(Exchange exchange, String root, RefusalReason reason) {
        if (reason == RefusalReason.UNAUTHENTICATED) {
            exchange.response().getHeaders().put(HttpHeader.WWW_AUTHENTICATE, CallHeaders.API_KEY);
        }
        String detail = "operation " + exchange.operation() + ": " + reason.wireName();
        CallAnswer answer = CallAnswer.refused(
                reason,
                detail,
                CallAnswer.LoadReport.NONE,
                0,
                state.membership().self().host().name());
        HttpResponses.call(exchange.response(), root, answer, exchange.callback());
    }

    private void record(Call call, CallAnswer answer) {
        String reason = answer.reason() == null ? "" : answer.reason().wireName();
        decisions.record(
                Decision.Kind.ANSWER,
                call.context(),
                call.operation(),
                new CallDecisionRecorder.DecisionDetails(
                        answer.host(),
                        answer.outcome().wireName(),
                        reason,
                        answer.report().level(),
                        answer.unspentRetries()));
    }

    private String requestId(Request request) throws HeaderException {
        String id = header(request, CallHeaders.REQUEST_ID);
        if (id.length() > MAX_REQUEST_ID_CHARS) {
            throw new HeaderException(
                    CallHeaders.REQUEST_ID + " is longer than " + MAX_REQUEST_ID_CHARS + " characters");
        }
        return id.isEmpty() ? state.membership().self().host() + "-" + nextRequest.incrementAndGet() : id;
    }

    private static String header(Request request, String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value.strip();
    }

    private static long number(Request request, String name, long defaultValue, long min, long max)
            throws HeaderException {
        String value = header(request, name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException notANumber) {
            // Reported like a number that is out of range.
        }
        throw new HeaderException(name + " \"" + value + "\" is not a number from " + min + " to " + max);
    }

    private static final class HeaderException extends Exception {
        private static final long serialVersionUID = 1L;

        private HeaderException(String message) {
            super(message);
        }
    }
}
