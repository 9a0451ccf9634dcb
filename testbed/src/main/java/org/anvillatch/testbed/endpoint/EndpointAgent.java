package org.anvillatch.testbed.endpoint;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.node.endpoint.EndpointAnnouncement;
import org.anvillatch.node.endpoint.EndpointHandler;
import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Announces a stand-in endpoint to the node of its host, sends heartbeats and deregisters it. Thread safe.
 */
public final class EndpointAgent {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long HEARTBEAT_PERIOD_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int OK = 200;

    private final EndpointStandIn endpoint;
    private final String nodeUrl;
    private final HttpClient client;
    private final ScheduledExecutorService timer;
    private final History history;
    private volatile double misreportFactor = 1;
    private volatile boolean announced;
    private volatile boolean leaving;
    private int startNumber;
    private Future<?> heartbeat;

    /**
     * Creates an agent.
     *
     * @param endpoint the endpoint
     * @param nodeAddress endpoint address of its node
     * @param client HTTP client for requests to the node
     * @param timer schedules heartbeats
     * @param history records announcements and deregistrations
     */
    public EndpointAgent(
            EndpointStandIn endpoint,
            String nodeAddress,
            HttpClient client,
            ScheduledExecutorService timer,
            History history) {
        this.endpoint = endpoint;
        this.nodeUrl = "http://" + nodeAddress + "/v1/endpoint";
        this.client = client;
        this.timer = timer;
        this.history = history;
    }

    /** Starts to announce the endpoint as a new instance; repeats the announcement until the node accepts it. */
    public synchronized void start() {
        startNumber++;
        announced = false;
        leaving = false;
        history.add(HistoryEvent.lifecycle(
                History.nowMicros(),
                Kind.ANNOUNCE,
                endpoint.name(),
                endpoint.service().name()));
        if (heartbeat == null) {
            heartbeat = timer.scheduleWithFixedDelay(
                    this::announceOrSendHeartbeat, 0, HEARTBEAT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Makes announcements and heartbeats misreport the endpoint's capacity and load.
     *
     * @param factor factor on the announced slots; unless it is 1, heartbeats report that nothing runs
     */
    public void setMisreportFactor(double factor) {
        misreportFactor = factor;
    }

    private void announceOrSendHeartbeat() {
        if (leaving || endpoint.isCrashed()) {
            return;
        }
        if (announced) {
            int running = misreportFactor == 1 ? endpoint.running() : 0;
            send(HttpMethod.POST, new EndpointHandler.Heartbeat(instanceName(), running));
        } else {
            int slots = Math.max(1, (int) (endpoint.service().slots() * misreportFactor));
            send(
                    HttpMethod.PUT,
                    new EndpointAnnouncement(
                            endpoint.service().name(),
                            endpoint.address(),
                            slots,
                            endpoint.service().maxConnections(),
                            instanceName()));
        }
    }

    private String instanceName() {
        return endpoint.name() + "-" + startNumber;
    }

    private void send(HttpMethod method, Object body) {
        try {
            request(method, MAPPER.writeValueAsString(body)).whenComplete((status, failure) -> {
                // A restarted node does not know the endpoint and rejects its heartbeat: announce again.
                announced = failure == null && status == OK;
            });
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("cannot encode request to the node as JSON", failure);
        }
    }

    private CompletableFuture<Integer> request(HttpMethod method, String body) {
        return new CompletableResponseListener(client.newRequest(nodeUrl)
                        .method(method)
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .body(new StringRequestContent("application/json", body)))
                .send()
                .thenApply(response -> response.getStatus());
    }

    /**
     * Deregisters the endpoint and stops its heartbeats.
     *
     * @return completes with the HTTP status of the node's response
     */
    public CompletableFuture<Integer> deregister() {
        leaving = true;
        return request(HttpMethod.DELETE, "").whenComplete((status, failure) -> {
            if (failure == null) {
                history.add(HistoryEvent.lifecycle(
                        History.nowMicros(),
                        Kind.LEAVE,
                        endpoint.name(),
                        endpoint.service().name()));
            }
        });
    }

    /** Stops heartbeats. */
    public synchronized void stop() {
        if (heartbeat != null) {
            heartbeat.cancel(false);
            heartbeat = null;
        }
    }
}
