package org.anvillatch.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The routes that a host currently applies.
 *
 * <p>Invariant: the version never decreases during the lifetime of the process. Not thread safe: owned by the host's
 * decision loop.
 */
public final class ActiveRoutes {
    private final WeightedRoundRobin split = new WeightedRoundRobin();
    private RouteTable table;
    private RouteIndex index;

    /**
     * Replaces the current table by a newer one.
     *
     * @param candidate table that replaces the current one if its version is larger
     * @return true if the current table was replaced
     */
    public boolean updateIfNewer(RouteTable candidate) {
        if (table != null && candidate.version() <= table.version()) {
            return false;
        }
        table = candidate;
        index = new RouteIndex(candidate);
        split.retain(candidate);
        return true;
    }

    /**
     * Returns the current table.
     *
     * @return the table, or empty if none was received yet
     */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Returns the version of the current table.
     *
     * @return the version, or -1 if no table was received yet
     */
    public long version() {
        return table == null ? -1 : table.version();
    }

    /**
     * Finds the route of a request.
     *
     * @param host host of the request
     * @param path path without its query
     * @return the route, or empty if no current route matches
     */
    public Optional<RequestRoute> match(String host, String path) {
        return index == null ? Optional.empty() : index.match(host, path);
    }

    /**
     * Chooses the service for the next request of a route.
     *
     * @param route the route
     * @param random source of randomness for the start position
     * @return name of the service
     */
    public String chooseService(RequestRoute route, RandomGenerator random) {
        return split.choose(route, random);
    }
}
