package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Distributes the requests of each route over its services by smooth weighted round robin, so that the shares hold over
 * few requests as well.
 *
 * <p>Invariant: over any run of requests a service's count differs from its share by at most a few requests. Not thread
 * safe: owned by the host's decision loop.
 */
public final class WeightedRoundRobin {
    private final Map<String, Rotation> rotations = new HashMap<>();

    private static final class Rotation {
        private final List<WeightedService> services;
        private final double[] credit;
        private int total;

        private Rotation(List<WeightedService> services, RandomGenerator random) {
            this.services = services;
            this.credit = new double[services.size()];
            for (WeightedService service : services) {
                total += service.weight();
            }
            // Hosts that start together must not all send their first request to the same service.
            for (int index = 0; index < credit.length; index++) {
                credit[index] = random.nextDouble() * total;
            }
        }

        private String next() {
            int best = 0;
            for (int index = 0; index < credit.length; index++) {
                credit[index] += services.get(index).weight();
                if (credit[index] > credit[best]) {
                    best = index;
                }
            }
            credit[best] -= total;
            return services.get(best).service();
        }
    }

    /**
     * Chooses the service of the next request.
     *
     * @param route the request's route
     * @param random source of the first position
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
     * Forgets routes that are gone.
     *
     * @param table the routes in force
     */
    public void retain(RouteTable table) {
        rotations
                .keySet()
                .retainAll(table.routes().stream().map(RequestRoute::name).toList());
    }
}
