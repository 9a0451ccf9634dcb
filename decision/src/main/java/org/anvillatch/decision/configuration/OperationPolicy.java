package org.anvillatch.decision.configuration;

/**
 * Policy of one operation. Immutable and thread safe.
 *
 * @param importance name from the order of importances
 * @param idempotent whether the operation may be executed more than once for one request
 * @param deadlineMillis default deadline of a request that states none, in milliseconds after its arrival
 */
public record OperationPolicy(String importance, boolean idempotent, int deadlineMillis) {}
