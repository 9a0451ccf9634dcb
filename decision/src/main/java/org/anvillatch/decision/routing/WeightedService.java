package org.anvillatch.decision.routing;

/**
 * A service that gets a fraction of a route's requests. Immutable and thread safe.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route, 0 or more
 */
public record WeightedService(String service, int weight) {}
