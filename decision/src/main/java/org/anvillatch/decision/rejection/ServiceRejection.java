package org.anvillatch.decision.rejection;

/**
 * What an answer says about a service whose endpoints reject a part of their requests. Immutable and thread safe.
 *
 * @param service the rejecting service
 * @param ratio rejected fraction of its arrivals, 0 to 1
 * @param level lowest rank of call trees for which rejected calls are retried
 * @param calls mean number of calls of the service for each execution of the answered operation
 */
public record ServiceRejection(String service, double ratio, int level, double calls) {}
