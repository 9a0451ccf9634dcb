package org.anvillatch.decision.model;

/**
 * An operation of a service. Immutable and thread safe.
 *
 * @param service name of the service
 * @param operation name of the operation within the service
 */
public record OperationName(String service, String operation) {
    @Override
    public String toString() {
        return service + "/" + operation;
    }
}
