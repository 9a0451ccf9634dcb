package org.anvillatch.node.operator;

import org.anvillatch.decision.admission.GatekeeperStatus;

/**
 * State of one host at one moment. Immutable and thread safe.
 *
 * @param host name of the host
 * @param incarnation life of the host
 * @param domain failure domain
 * @param service service of its endpoint, empty if none
 * @param gatekeeper state of the gatekeeper
 * @param reportedRunning executions that the endpoint reports
 * @param configurationVersion version in force
 * @param coveredOffset how much of the configuration stream is reduced
 * @param members hosts that it believes present
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
