package org.anvillatch.decision.admission;

import org.anvillatch.decision.drain.EndpointPhase;

/**
 * State of a gatekeeper at one point in time. Immutable and thread safe.
 *
 * @param phase phase of the endpoint
 * @param slots slots announced by the endpoint
 * @param limit maximum number of concurrent executions
 * @param running number of running executions
 * @param waiting number of queued requests
 * @param level shed level due to the endpoint's own load: the lowest rank that senders should send
 */
public record GatekeeperStatus(EndpointPhase phase, int slots, int limit, int running, int waiting, int level) {}
