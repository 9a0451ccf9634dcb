package org.anvillatch.testbed.site;

import java.util.List;

/**
 * A stand-in service. Immutable and thread safe.
 *
 * @param name name of the service
 * @param endpointCount endpoints, spread over the failure domains
 * @param slots executions that one endpoint runs at a time
 * @param maxConnections connections that one endpoint accepts
 * @param operations its operations
 */
public record ServiceSpec(
        String name, int endpointCount, int slots, int maxConnections, List<OperationSpec> operations) {
    /**
     * Finds an operation.
     *
     * @param operation name of the operation
     * @return the operation, or null
     */
    public OperationSpec operation(String operation) {
        return operations.stream()
                .filter(spec -> spec.name().equals(operation))
                .findFirst()
                .orElse(null);
    }
}
