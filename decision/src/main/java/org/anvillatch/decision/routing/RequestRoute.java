package org.anvillatch.decision.routing;

import java.util.List;

/**
 * Destination and handling of the requests with one virtual host and path prefix. Immutable and thread safe.
 *
 * @param name name of the route
 * @param host virtual host, in lower case
 * @param pathPrefix prefix that begins and ends with a slash
 * @param services services over which the requests are distributed, at least one with a positive weight
 * @param idempotent whether a request may be executed more than once
 * @param timeoutMillis maximum time until a request is answered, in milliseconds
 * @param targetLatencyMillis target for the latency of an answer, in milliseconds
 * @param importance order of refusal, 0 to 15; the highest importance is refused last
 * @param maxAttempts maximum number of endpoints to which one request is sent, at least 1
 * @param isPublic whether requests need no API key
 */
public record RequestRoute(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> services,
        boolean idempotent,
        long timeoutMillis,
        long targetLatencyMillis,
        int importance,
        int maxAttempts,
        boolean isPublic) {
    /** Copies the list of services. */
    public RequestRoute {
        services = List.copyOf(services);
    }
}
