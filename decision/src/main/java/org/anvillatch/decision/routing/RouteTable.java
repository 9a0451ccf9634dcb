package org.anvillatch.decision.routing;

import java.util.List;
import java.util.Map;

import org.anvillatch.decision.team.Team;

/**
 * One version of the table of all routes. Immutable and thread safe.
 *
 * @param version number of the version; a larger one replaces a smaller one
 * @param routes all routes
 * @param connectionLimits maximum number of connections to an endpoint, by service
 * @param limits limits on the requests and connections of callers
 * @param teams all teams, empty if callers need no API key; null in a table from a host of an earlier version, which
 *     does not know the teams
 */
public record RouteTable(
        long version,
        List<RequestRoute> routes,
        Map<String, Integer> connectionLimits,
        RequestLimits limits,
        List<Team> teams) {
    /** Copies the collections. */
    public RouteTable {
        routes = List.copyOf(routes);
        connectionLimits = Map.copyOf(connectionLimits);
        teams = teams == null ? null : List.copyOf(teams);
    }

    /** Creates a table without teams. */
    public RouteTable(
            long version, List<RequestRoute> routes, Map<String, Integer> connectionLimits, RequestLimits limits) {
        this(version, routes, connectionLimits, limits, List.of());
    }
}
