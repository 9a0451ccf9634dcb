package org.anvillatch.node.operator;

import org.anvillatch.decision.admission.GatekeeperStatus;

/**
 * State of a host at one point in time. Immutable and thread safe.
 *
 * @param host name of the host
 * @param incarnation incarnation of the host
 * @param domain failure domain of the host
 * @param service service of its endpoint, empty if there is none
 * @param gatekeeper state of its gatekeeper
 * @param reportedRunning number of running executions that the endpoint reports
 * @param configurationVersion current version of the configuration
 * @param coveredOffset offset up to which the configuration stream is applied
 * @param members number of hosts present in its membership view
 * @param state state of the process: starting, serving or leaving
 */
public record HostStatus(
        String host,
        long incarnation,
        String domain,
        String service,
        GatekeeperStatus gatekeeper,
        int reportedRunning,
        long configurationVersion,
        long coveredOffset,
        int members,
        String state) {}
