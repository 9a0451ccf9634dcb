package org.anvillatch.decision.model;

/**
 * Name of an operation of a service. Immutable and thread safe.
 *
 * @param service name of the service
 * @param operation name of the operation within the service
 */
public record OperationName(String service, String operation) {
    @Override
    public String toString() {
        return service + "/" + operation;
    }

    /** Implemented by hand because the method that is generated for a record is slow until it has been called often. */
    @Override
    public boolean equals(Object other) {
        return other instanceof OperationName otherName
                && service.equals(otherName.service)
                && operation.equals(otherName.operation);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + operation.hashCode();
    }
}
