package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Distributes the requests of each route over its services by smooth weighted round robin, so that the weights hold
 * even over few requests.
 *
 * <p>Invariant: over any sequence of requests, the number that a service gets differs by at most a few requests from
 * the number that its weight implies. Not thread safe: owned by the host's decision loop.
 */
public final class WeightedRoundRobin {
    private final Map<String, Rotation> rotations = new HashMap<>();

    private static final class Rotation {
        private final List<WeightedService> services;
        private final double[] currentWeights;
        private int totalWeight;

        private Rotation(List<WeightedService> services, RandomGenerator random) {
            this.services = services;
            this.currentWeights = new double[services.size()];
            for (WeightedService service : services) {
                totalWeight += service.weight();
            }
            // A random start position keeps hosts that start together from all choosing the same service first.
            for (int index = 0; index < currentWeights.length; index++) {
                currentWeights[index] = random.nextDouble() * totalWeight;
            }
        }

        private String next() {
            int best = 0;
            for (int index = 0; index < currentWeights.length; index++) {
                currentWeights[index] += services.get(index).weight();
                if (currentWeights[index] > currentWeights[best]) {
                    best = index;
                }
            }
            currentWeights[best] -= totalWeight;
            return services.get(best).service();
        }
    }

    /**
     * Chooses the service for the next request of a route.
     *
     * @param route the route
     * @param random source of randomness for the start position
     * @return name of the service
     */
    public String choose(RequestRoute route, RandomGenerator random) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        Rotation rotation = rotations.get(route.name());
        if (rotation == null || !rotation.services.equals(route.services())) {
            rotation = new Rotation(route.services(), random);
            rotations.put(route.name(), rotation);
        }
        return rotation.next();
    }

    /**
     * Removes the state of routes that no longer exist.
     *
     * @param table the current routes
     */
    public void retain(RouteTable table) {
        rotations
                .keySet()
                .retainAll(table.routes().stream().map(RequestRoute::name).toList());
    }
}
