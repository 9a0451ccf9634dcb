package org.anvillatch.decision.routing;

import java.util.List;
import java.util.Map;

/**
 * One version of all routes. Immutable and thread safe.
 *
 * @param version number of the version; a larger one replaces a smaller one
 * @param routes all routes
 * @param connectionLimits connections that an endpoint accepts, by service
 * @param limits bounds on what callers may send
 */
public record RouteTable(
        long version, List<RequestRoute> routes, Map<String, Integer> connectionLimits, RequestLimits limits) {
    /** Copies the collections. */
    public RouteTable {
        routes = List.copyOf(routes);
        connectionLimits = Map.copyOf(connectionLimits);
    }
}
