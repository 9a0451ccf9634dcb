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

    /** Written out, because the method that records generate is slow until it has been called often. */
    @Override
    public boolean equals(Object other) {
        return other instanceof OperationName that && service.equals(that.service) && operation.equals(that.operation);
    }

    @Override
    public int hashCode() {
        return 31 * service.hashCode() + operation.hashCode();
    }
}
