package org.anvillatch.testbed.site;

import java.util.List;

/**
 * An operation of a stand-in service. Immutable and thread safe.
 *
 * @param name name of the operation
 * @param importance name of the importance
 * @param idempotent whether it may be executed more than once
 * @param deadlineMillis deadline declared to the system
 * @param serviceTimeMillis time of the operation's own work
 * @param nestedCalls calls made after the own work, {@code service/operation}, in parallel
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
