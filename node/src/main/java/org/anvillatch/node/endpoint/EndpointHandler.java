package org.anvillatch.node.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.caller.HttpResponses;
import org.anvillatch.node.listener.RequestBodies;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.FrameCodec;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles the announcement, heartbeats and deregistration of this host's endpoint: {@code PUT}, {@code POST} and
 * {@code DELETE} on {@code /v1/endpoint}. Thread safe; state is owned by the decision loop.
 *
 * <p>Invariant: an endpoint that sends no heartbeat for {@link #HEARTBEAT_TIMEOUT_MICROS} gets no new work until it
 * sends a heartbeat or an announcement again.
 */
public final class EndpointHandler extends Handler.Abstract.NonBlocking {
    /** Time without a heartbeat after which an endpoint is considered silent, in microseconds. */
    public static final long HEARTBEAT_TIMEOUT_MICROS = 2_000_000;

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
    private long lastContactMicros;
    private int reportedRunning;

    /**
     * Heartbeat of an endpoint.
     *
     * @param instance identity of the endpoint's process, which changes with each start
     * @param running number of running executions as reported by the endpoint
     */
    public record Heartbeat(String instance, int running) {}

    /**
     * Status of the endpoint as seen by its host, sent in the response to the endpoint.
     *
     * @param host name of the host
     * @param phase phase of the endpoint
     * @param running number of executions that run according to the gatekeeper
     */
    public record EndpointStatus(String host, EndpointPhase phase, int running) {}

    /**
     * Creates the handler.
     *
     * @param loop loop that runs decisions
     * @param state decision state of this host
     * @param gatekeeperService receives announcements and changes of phase
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
        RequestBodies.read(request, MAX_BODY_BYTES).whenComplete((content, failure) -> {
            if (RequestBodies.refuseIfExhausted(failure, response, callback)) {
                return;
            }
            if (failure != null) {
                HttpResponses.badRequest(response, BAD_REQUEST, "body cannot be read or is too long", callback);
            } else {
                loop.execute(() -> handleOnLoop(request.getMethod(), content, response, callback));
            }
        });
        return true;
    }

    private void handleOnLoop(String method, byte[] content, Response response, Callback callback) {
        try {
            switch (method) {
                case "PUT" ->
                    handleAnnouncement(MAPPER.readValue(content, EndpointAnnouncement.class), response, callback);
                case "POST" -> handleHeartbeat(MAPPER.readValue(content, Heartbeat.class), response, callback);
                case "DELETE" -> handleDeregistration(response, callback);
                default -> HttpResponses.badRequest(response, 405, "method must be PUT, POST or DELETE", callback);
            }
        } catch (IOException malformed) {
            String detail = "body is not valid JSON of the expected form: " + malformed.getMessage();
            HttpResponses.badRequest(response, BAD_REQUEST, detail, callback);
        }
    }

    private void handleAnnouncement(EndpointAnnouncement announcement, Response response, Callback callback) {
        List<String> problems = problemsOf(announcement);
        if (!problems.isEmpty()) {
            HttpResponses.badRequest(response, BAD_REQUEST, String.join("; ", problems), callback);
            return;
        }
        lastContactMicros = loop.nowMicros();
        gatekeeperService.endpointState().announced(announcement);
        HttpResponses.json(response, OK, endpointStatus(), callback);
    }

    private static List<String> problemsOf(EndpointAnnouncement announcement) {
        List<String> problems = new ArrayList<>();
        if (announcement.service() == null || !announcement.service().matches("[A-Za-z0-9_.-]{1,100}")) {
            problems.add("service must be 1 to 100 letters, digits, dots, hyphens or underscores");
        }
        if (announcement.address() == null || !announcement.address().matches("[0-9.]+:[0-9]{1,5}")) {
            problems.add("address must be an IP address and a port");
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

    private void handleHeartbeat(Heartbeat heartbeat, Response response, Callback callback) {
        EndpointAnnouncement endpoint = gatekeeperService.endpointState().endpoint();
        if (endpoint == null || !endpoint.instance().equals(heartbeat.instance())) {
            String detail = "instance \"" + heartbeat.instance() + "\" has not announced itself";
            HttpResponses.badRequest(response, CONFLICT, detail, callback);
            return;
        }
        lastContactMicros = loop.nowMicros();
        reportedRunning = heartbeat.running();
        if (state.gatekeeper().phase() == EndpointPhase.SILENT) {
            gatekeeperService.endpointState().changePhase(EndpointPhase.SERVING);
            gatekeeperService.endpointState().applyDrain();
        }
        HttpResponses.json(response, OK, endpointStatus(), callback);
    }

    private void handleDeregistration(Response response, Callback callback) {
        EndpointAnnouncement endpoint = gatekeeperService.endpointState().endpoint();
        if (endpoint == null) {
            HttpResponses.badRequest(response, CONFLICT, "no endpoint has announced itself", callback);
            return;
        }
        gatekeeperService.endpointState().leaving(endpoint.instance());
        HttpResponses.json(response, ACCEPTED, endpointStatus(), callback);
    }

    private EndpointStatus endpointStatus() {
        return new EndpointStatus(
                state.membership().self().host().name(),
                state.gatekeeper().phase(),
                state.gatekeeper().status().running());
    }

    /** Marks a serving endpoint as silent if its last heartbeat or announcement is too old. Called periodically. */
    public void checkHeartbeat() {
        boolean heartbeatOverdue = loop.nowMicros() - lastContactMicros > HEARTBEAT_TIMEOUT_MICROS;
        if (heartbeatOverdue && state.gatekeeper().phase() == EndpointPhase.SERVING) {
            gatekeeperService.endpointState().changePhase(EndpointPhase.SILENT);
        }
    }

    /**
     * Returns the number of running executions in the endpoint's last heartbeat.
     *
     * @return 0 before the first heartbeat
     */
    public int reportedRunning() {
        return reportedRunning;
    }
}
