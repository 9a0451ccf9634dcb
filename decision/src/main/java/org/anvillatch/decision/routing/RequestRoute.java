package org.anvillatch.decision.routing;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and how they may be treated. Immutable and thread safe.
 *
 * @param name name of the route
 * @param host virtual host, in lower case
 * @param pathPrefix prefix that begins and ends with a slash
 * @param services services that share the requests, at least one with a positive weight
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis longest time that a request is kept waiting, in milliseconds
 * @param targetLatencyMillis time within which an answer is on time, in milliseconds
 * @param importance order of refusal, 0 to 15, the highest is refused last
 * @param maxAttempts endpoints that one request may be sent to, at least 1
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
        int maxAttempts) {
    /** Copies the list of services. */
    public RequestRoute {
        services = List.copyOf(services);
    }
}
