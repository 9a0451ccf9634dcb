package org.anvillatch.decision.routing;

import java.util.List;
import java.util.Map;

/**
 * One version of the table of all routes. Immutable and thread safe.
 *
 * @param version number of the version; a larger one replaces a smaller one
 * @param routes all routes
 * @param connectionLimits maximum number of connections to an endpoint, by service
 * @param limits limits on the requests and connections of callers
 */
public record RouteTable(
        long version, List<RequestRoute> routes, Map<String, Integer> connectionLimits, RequestLimits limits) {
    /** Copies the collections. */
    public RouteTable {
        routes = List.copyOf(routes);
        connectionLimits = Map.copyOf(connectionLimits);
    }
}
