package org.anvillatch.decision.configuration;

/**
 * Intent for one operation. Immutable and thread safe.
 *
 * @param importance name from the order of importances
 * @param idempotent whether the operation may be executed more than once for one request
 * @param deadlineMillis time after which a request without its own deadline is given up
 */
public record OperationPolicy(String importance, boolean idempotent, int deadlineMillis) {}
