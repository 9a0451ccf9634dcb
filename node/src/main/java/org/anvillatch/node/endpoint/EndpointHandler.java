package org.anvillatch.node.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.caller.HttpResponses;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.FrameCodec;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Takes the announcement, heartbeats and departure of this host's endpoint: {@code PUT}, {@code POST} and {@code DELETE}
 * on {@code /v1/endpoint}. Thread safe; state is owned by the decision loop.
 *
 * <p>Invariant: an endpoint that is silent for {@link #SILENCE_MICROS} gets no new work until it is heard again.
 */
public final class EndpointHandler extends Handler.Abstract.NonBlocking {
    /** Time without a heartbeat after which an endpoint counts as silent, in microseconds. */
    public static final long SILENCE_MICROS = 2_000_000;

    private static final String PATH = "/v1/endpoint";
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final ObjectMapper MAPPER = FrameCodec.configure(new ObjectMapper());

    private final DecisionLoop loop;
    private final HostState state;
    private final GatekeeperService gatekeeperService;
    private long receivedMicros;
    private int reportedRunning;

    /**
     * An endpoint's heartbeat.
     *
     * @param instance identity of this run of the endpoint's process
     * @param running executions that run, as the endpoint reports
     */
    public record Heartbeat(String instance, int running) {}

    /**
     * Answer to an endpoint.
     *
     * @param host name of the host
     * @param phase phase of the endpoint as its host sees it
     * @param running executions that the host knows of
     */
    public record EndpointStatus(String host, EndpointPhase phase, int running) {}

    /**
     * Creates the handler.
     *
     * @param loop runs decisions
     * @param state decision state of the host
     * @param gatekeeperService takes the endpoint's announcement
     */
    public EndpointHandler(DecisionLoop loop, HostState state, GatekeeperService gatekeeperService) {
        this.loop = loop;
        this.state = state;
        this.gatekeeperService = gatekeeperService;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).whenComplete((content, failure) -> {
            if (failure != null) {
                HttpResponses.badRequest(response, BAD_REQUEST, "body cannot be read", callback);
            } else {
                loop.execute(() -> decide(request.getMethod(), content, response, callback));
            }
        });
        return true;
    }

    private void decide(String method, byte[] content, Response response, Callback callback) {
        try {
            switch (method) {
                case "PUT" -> announce(MAPPER.readValue(content, EndpointAnnouncement.class), response, callback);
                case "POST" -> heartbeat(MAPPER.readValue(content, Heartbeat.class), response, callback);
                case "DELETE" -> leave(response, callback);
                default -> HttpResponses.badRequest(response, 405, "method must be PUT, POST or DELETE", callback);
            }
        } catch (IOException malformed) {
            String detail = "body is not valid JSON of the expected form: " + malformed.getMessage();
            HttpResponses.badRequest(response, BAD_REQUEST, detail, callback);
        }
    }

    private void announce(EndpointAnnouncement announcement, Response response, Callback callback) {
        List<String> problems = problemsOf(announcement);
        if (!problems.isEmpty()) {
            HttpResponses.badRequest(response, BAD_REQUEST, String.join("; ", problems), callback);
            return;
        }
        receivedMicros = loop.nowMicros();
        gatekeeperService.endpointAnnounced(announcement);
        HttpResponses.json(response, OK, answer(), callback);
    }

    private static List<String> problemsOf(EndpointAnnouncement announcement) {
        List<String> problems = new ArrayList<>();
        if (announcement.service() == null || !announcement.service().matches("[A-Za-z0-9_.-]{1,100}")) {
            problems.add("service must be 1 to 100 letters, digits, dots, hyphens or underscores");
        }
        if (announcement.address() == null || !announcement.address().matches("[0-9.]+:[0-9]{1,5}")) {
            problems.add("address must be an IP number and a port");
        }
        if (announcement.instance() == null || announcement.instance().isEmpty()) {
            problems.add("instance must not be empty");
        }
        if (announcement.slots() < 1) {
            problems.add("slots must be at least 1 but is " + announcement.slots());
        }
        if (announcement.connections() < 1) {
            problems.add("connections must be at least 1 but is " + announcement.connections());
        }
        return problems;
    }

    private void heartbeat(Heartbeat heartbeat, Response response, Callback callback) {
        EndpointAnnouncement endpoint = gatekeeperService.endpoint();
        if (endpoint == null || !endpoint.instance().equals(heartbeat.instance())) {
            String detail = "instance \"" + heartbeat.instance() + "\" has not announced itself";
            HttpResponses.badRequest(response, CONFLICT, detail, callback);
            return;
        }
        receivedMicros = loop.nowMicros();
        reportedRunning = heartbeat.running();
        if (state.gatekeeper().phase() == EndpointPhase.SILENT) {
            gatekeeperService.changePhase(EndpointPhase.SERVING);
            gatekeeperService.applyDrain();
        }
        HttpResponses.json(response, OK, answer(), callback);
    }

    private void leave(Response response, Callback callback) {
        gatekeeperService.changePhase(EndpointPhase.LEAVING);
        HttpResponses.json(response, ACCEPTED, answer(), callback);
    }

    private EndpointStatus answer() {
        return new EndpointStatus(
                state.membership().self().host().name(),
                state.gatekeeper().phase(),
                state.gatekeeper().status().running());
    }

    /** Notices silence. */
    public void checkHeartbeat() {
        boolean silent = loop.nowMicros() - receivedMicros > SILENCE_MICROS;
        if (silent && state.gatekeeper().phase() == EndpointPhase.SERVING) {
            gatekeeperService.changePhase(EndpointPhase.SILENT);
        }
    }

    /**
     * Returns what the endpoint last reported.
     *
     * @return executions that run, as the endpoint reports
     */
    public int reportedRunning() {
        return reportedRunning;
    }
}
