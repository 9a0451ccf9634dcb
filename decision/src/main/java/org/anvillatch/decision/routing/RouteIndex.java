package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Index of routes by virtual host and path prefix. The time of a lookup depends on the depth of the path, not on the
 * number of routes. Immutable and thread safe.
 */
public final class RouteIndex {
    private final Map<String, Map<String, RequestRoute>> byHostAndPrefix = new HashMap<>();

    /**
     * Creates the index of a table.
     *
     * @param table the routes
     */
    public RouteIndex(RouteTable table) {
        for (RequestRoute route : table.routes()) {
            byHostAndPrefix
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param hostAndPort host of the request, with or without a port
     * @param path path of the request without its query
     * @return the route, or empty if none matches
     */
    public Optional<RequestRoute> match(String hostAndPort, String path) {
        Map<String, RequestRoute> prefixes = byHostAndPrefix.get(hostOf(hostAndPort));
        if (prefixes == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RequestRoute route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (slash == 0) {
                break;
            }
        }
        return Optional.empty();
    }

    private static String hostOf(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        String host = colon > hostAndPort.lastIndexOf(']') ? hostAndPort.substring(0, colon) : hostAndPort;
        return host.toLowerCase(Locale.ROOT);
    }
}
