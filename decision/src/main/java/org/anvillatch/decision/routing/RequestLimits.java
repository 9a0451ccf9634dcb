package org.anvillatch.decision.routing;

/**
 * Limits on the requests and connections of callers. Immutable and thread safe.
 *
 * @param maxHeaderBytes maximum size of a request's header in bytes
 * @param maxBodyBytes maximum size of a request's body in bytes
 * @param idleTimeoutMillis time after which a caller's idle connection is closed, in milliseconds
 * @param headerTimeoutMillis maximum time for the header of a request, in milliseconds; 0 if it is not known
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long idleTimeoutMillis, long headerTimeoutMillis) {}
