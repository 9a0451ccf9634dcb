package org.anvillatch.testbed.site;

import java.util.List;

/**
 * A stand-in service. Immutable and thread safe.
 *
 * @param name name of the service
 * @param workers endpoints, spread over the failure domains
 * @param slots executions that one endpoint runs at a time
 * @param connections connections that one endpoint accepts
 * @param operations its operations
 */
public record ServiceSpec(String name, int workers, int slots, int connections, List<OperationSpec> operations) {
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
