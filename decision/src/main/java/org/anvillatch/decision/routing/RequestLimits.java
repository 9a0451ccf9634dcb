package org.anvillatch.decision.routing;

/**
 * Bounds on what a caller may send. Immutable and thread safe.
 *
 * @param maxHeaderBytes size of a request's header in bytes
 * @param maxBodyBytes size of a request's body in bytes
 * @param idleTimeoutMillis time that a caller's connection may stay idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long idleTimeoutMillis) {}
