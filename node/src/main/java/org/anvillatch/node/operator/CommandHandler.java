package org.anvillatch.node.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.language.Script;
import org.anvillatch.language.ScriptParser;
import org.anvillatch.node.Readiness;
import org.anvillatch.node.caller.HttpResponses;
import org.anvillatch.node.listener.RequestBodies;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Executes operators' scripts ({@code POST /v1/command}), serves metrics ({@code GET /metrics}) and answers whether this
 * node can serve ({@code GET /readiness}). Thread safe.
 */
public final class CommandHandler extends Handler.Abstract.NonBlocking {
    private static final String COMMAND_PATH = "/v1/command";
    private static final String METRICS_PATH = "/metrics";
    private static final String READINESS_PATH = "/readiness";
    private static final String BEARER = "Bearer ";
    private static final int MAX_BODY_BYTES = 400_000;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final DecisionLoop loop;
    private final HostState state;
    private final ChangeCommand changes;
    private final QuestionCommand questions;
    private final AccessKeys keys;
    private final MetricRegistry metrics;
    private final Readiness readiness;

    /**
     * Access keys of operators. Immutable and thread safe.
     *
     * @param read access key that permits questions, empty if none is needed
     * @param change access key that permits changes and questions, empty if no changes are allowed
     */
    public record AccessKeys(String read, String change) {
        private boolean permitsChange(String given) {
            return !change.isEmpty() && equalKeys(change, given);
        }

        private boolean permitsQuestion(String given) {
            return read.isEmpty() || equalKeys(read, given) || permitsChange(given);
        }

        private static boolean equalKeys(String expected, String given) {
            // Compares in constant time, so that the duration does not reveal how much of a key is right.
            return MessageDigest.isEqual(
                    expected.getBytes(StandardCharsets.UTF_8), given.getBytes(StandardCharsets.UTF_8));
        }
    }

    /**
     * Creates the handler.
     *
     * @param loop runs the commands
     * @param state decision state of the host
     * @param changes executes changes
     * @param questions answers questions
     * @param keys access keys of operators
     * @param metrics registry of the served metrics
     * @param readiness whether this node can serve
     */
    public CommandHandler(
            DecisionLoop loop,
            HostState state,
            ChangeCommand changes,
            QuestionCommand questions,
            AccessKeys keys,
            MetricRegistry metrics,
            Readiness readiness) {
        this.readiness = readiness;
        this.loop = loop;
        this.state = state;
        this.changes = changes;
        this.questions = questions;
        this.keys = keys;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals(METRICS_PATH)) {
            // Gauges read decision state, which may be accessed on the decision loop only.
            loop.execute(() -> HttpResponses.text(response, MetricsText.of(metrics), callback));
            return true;
        }
        if (path.equals(READINESS_PATH)) {
            readiness.check(ready -> {
                response.setStatus(ready ? OK : SERVICE_UNAVAILABLE);
                response.write(true, null, callback);
            });
            return true;
        }
        if (!path.equals(COMMAND_PATH)) {
            return false;
        }
        if (!request.getMethod().equals("POST")) {
            response.getHeaders().put(HttpHeader.ALLOW, "POST");
            HttpResponses.badRequest(response, METHOD_NOT_ALLOWED, "method must be POST", callback);
            return true;
        }
        RequestBodies.read(request, MAX_BODY_BYTES).whenComplete((content, failure) -> {
            if (RequestBodies.refuseIfExhausted(failure, response, callback)) {
                return;
            }
            if (failure != null) {
                HttpResponses.badRequest(response, CONTENT_TOO_LARGE, "script cannot be read", callback);
            } else {
                loop.execute(() -> run(request, new String(content, StandardCharsets.UTF_8), response, callback));
            }
        });
        return true;
    }

    private void run(Request request, String text, Response response, Callback callback) {
        Fields fields = Request.extractQueryParameters(request);
        List<Finding> findings = new ArrayList<>();
        Script script = ScriptParser.parse(text, findings);
        long version = state.configuration().current().version();
        if (!findings.isEmpty()) {
            send(
                    CommandAnswer.rejected(
                            CommandAnswer.Result.INVALID, "the script cannot be understood", version, findings),
                    response,
                    callback);
        } else if (!isPermitted(script, accessKeyOf(request))) {
            send(
                    CommandAnswer.rejected(
                            CommandAnswer.Result.FORBIDDEN,
                            "the access key does not permit this script",
                            version,
                            List.of()),
                    response,
                    callback);
        } else if (script.changes().isEmpty()) {
            questions.run(script.questions(), answer -> send(answer, response, callback));
        } else {
            String author = fields.getValue("author");
            boolean dryRun = "true".equals(fields.getValue("dryRun"));
            changes.run(
                    script, author == null ? "unnamed" : author, dryRun, answer -> send(answer, response, callback));
        }
    }

    private boolean isPermitted(Script script, String key) {
        return script.changes().isEmpty() ? keys.permitsQuestion(key) : keys.permitsChange(key);
    }

    private static String accessKeyOf(Request request) {
        String value = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        return value != null && value.startsWith(BEARER) ? value.substring(BEARER.length()) : "";
    }

    private static void send(CommandAnswer answer, Response response, Callback callback) {
        HttpResponses.json(response, answer.result().status(), answer, callback);
    }
}
