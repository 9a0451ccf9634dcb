package org.anvillatch.node.operator;

import org.anvillatch.decision.admission.GatekeeperStatus;

/**
 * State of a host at one point in time. Immutable and thread safe.
 *
 * @param host name of the host
 * @param incarnation incarnation of the host
 * @param domain failure domain of the host
 * @param service service of the host's endpoint, empty if there is none
 * @param gatekeeper state of the host's gatekeeper
 * @param reportedRunning number of running executions in the endpoint's last heartbeat
 * @param configurationVersion current version of the configuration
 * @param coveredPosition position up to which the configuration stream is applied
 * @param members number of hosts that are present in the host's membership view
 * @param state state of the process: starting, serving, leaving or stopped
 */
public record HostStatus(
        String host,
        long incarnation,
        String domain,
        String service,
        GatekeeperStatus gatekeeper,
        int reportedRunning,
        long configurationVersion,
        long coveredPosition,
        int members,
        String state) {}
