package org.anvillatch.testbed.site;

import java.util.List;

/**
 * Specification of an operation of a stand-in service. Immutable and thread safe.
 *
 * @param name name of the operation
 * @param importance name of the importance level
 * @param idempotent whether it may be executed more than once
 * @param deadlineMillis declared deadline in milliseconds
 * @param serviceTimeMillis service time, without nested calls, in milliseconds
 * @param nestedCalls operations called in parallel after the service time, as {@code service/operation}
 */
public record OperationSpec(
        String name,
        String importance,
        boolean idempotent,
        int deadlineMillis,
        int serviceTimeMillis,
        List<String> nestedCalls) {
    OperationSpec slowedBy(double factor) {
        return new OperationSpec(
                name,
                importance,
                idempotent,
                (int) (deadlineMillis * factor),
                (int) (serviceTimeMillis * factor),
                nestedCalls);
    }
}
