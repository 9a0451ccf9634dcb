package org.anvillatch.testbed.site;

import java.util.List;

/**
 * Specification of a stand-in service. Immutable and thread safe.
 *
 * @param name name of the service
 * @param endpointCount number of endpoints, which are spread evenly over the failure domains
 * @param slots maximum number of executions that one endpoint runs at a time
 * @param maxConnections maximum number of requests, running and queued, that one endpoint accepts
 * @param operations its operations
 */
public record ServiceSpec(
        String name, int endpointCount, int slots, int maxConnections, List<OperationSpec> operations) {
    /**
     * Finds an operation.
     *
     * @param operation name of the operation
     * @return the operation, or null if the service has none of this name
     */
    public OperationSpec operation(String operation) {
        return operations.stream()
                .filter(spec -> spec.name().equals(operation))
                .findFirst()
                .orElse(null);
    }
}
