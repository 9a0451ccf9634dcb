package org.anvillatch.decision.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The routes that a host applies.
 *
 * <p>Invariant: the version never falls within one life of the process. Not thread safe: owned by the host's decision
 * loop.
 */
public final class ActiveRoutes {
    private final WeightedRoundRobin split = new WeightedRoundRobin();
    private RouteTable table;
    private RouteIndex index;

    /**
     * Takes a table if it is newer than the one in force.
     *
     * @param candidate the table
     * @return true if it is in force now and was not before
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
     * Returns the table in force.
     *
     * @return the table, or empty before the first
     */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Returns the version in force.
     *
     * @return the version, or -1 before the first
     */
    public long version() {
        return table == null ? -1 : table.version();
    }

    /**
     * Finds the route of a request.
     *
     * @param host host of the request
     * @param path path without its query
     * @return the route, or empty if no route in force matches
     */
    public Optional<RequestRoute> match(String host, String path) {
        return index == null ? Optional.empty() : index.match(host, path);
    }

    /**
     * Chooses the service of a route's next request.
     *
     * @param route the route
     * @param random source of the first position
     * @return name of the service
     */
    public String chooseService(RequestRoute route, RandomGenerator random) {
        return split.choose(route, random);
    }
}
