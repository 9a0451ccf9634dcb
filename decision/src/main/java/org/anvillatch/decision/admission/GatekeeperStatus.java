package org.anvillatch.decision.admission;

import org.anvillatch.decision.drain.EndpointPhase;

/**
 * State of a gatekeeper at one moment. Immutable and thread safe.
 *
 * @param phase phase of the endpoint
 * @param slots slots announced by the endpoint
 * @param limit executions allowed at a time
 * @param running executions that run
 * @param waiting requests that wait
 * @param level lowest rank admitted by the endpoint's own load
 */
public record GatekeeperStatus(EndpointPhase phase, int slots, int limit, int running, int waiting, int level) {}
