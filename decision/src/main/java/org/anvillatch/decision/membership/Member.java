package org.anvillatch.decision.membership;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.HostIdentity;

/**
 * State of one host in a membership view. Immutable and thread safe.
 *
 * @param host incarnation of the host
 * @param update number of the host's latest update about itself within this incarnation; larger is later
 * @param address IP address and port for other hosts
 * @param domain failure domain
 * @param service service of the endpoint on this host, or empty
 * @param slots slots of the endpoint, 0 if none
 * @param phase phase of the endpoint
 * @param status status of the host
 * @param serviceTimeMicros advertised service time of the endpoint, that is, the mean time of an execution without its
 *     nested calls, in microseconds; 0 while not known
 */
public record Member(
        HostIdentity host,
        long update,
        String address,
        String domain,
        String service,
        int slots,
        EndpointPhase phase,
        MemberStatus status,
        long serviceTimeMicros) {
    /**
     * Returns whether this state replaces another state of the host with the same name.
     *
     * @param other the current state
     * @return true if this is a later incarnation, a later update of an incarnation that has not left, or a status that
     *     takes precedence for the same update
     */
    public boolean supersedes(Member other) {
        if (host.incarnation() != other.host.incarnation()) {
            return host.incarnation() > other.host.incarnation();
        }
        if (update != other.update) {
            return update > other.update && other.status != MemberStatus.LEFT;
        }
        return status.supersedes(other.status);
    }

    /**
     * Returns this state with another status.
     *
     * @param next the new status
     * @return a copy
     */
    public Member withStatus(MemberStatus next) {
        return new Member(host, update, address, domain, service, slots, phase, next, serviceTimeMicros);
    }

    /**
     * Returns the host's next update, with another state of its endpoint.
     *
     * @param newService service of the endpoint, or empty
     * @param newSlots slots of the endpoint
     * @param newPhase phase of the endpoint
     * @param newServiceTimeMicros advertised service time in microseconds, or 0 while not known
     * @return a copy with the next update number
     */
    public Member withEndpoint(String newService, int newSlots, EndpointPhase newPhase, long newServiceTimeMicros) {
        return new Member(
                host, update + 1, address, domain, newService, newSlots, newPhase, status, newServiceTimeMicros);
    }

    /**
     * Returns the host's next update, which refutes a wrong status.
     *
     * @param after update number for which the wrong status was reported
     * @return a copy that is alive and replaces the wrong status
     */
    public Member refuting(long after) {
        long next = Math.max(after, update) + 1;
        return new Member(host, next, address, domain, service, slots, phase, MemberStatus.ALIVE, serviceTimeMicros);
    }

    /**
     * Returns this host with the identity of a later incarnation.
     *
     * @param identity the new identity
     * @return a copy
     */
    public Member withIdentity(HostIdentity identity) {
        return new Member(identity, update + 1, address, domain, service, slots, phase, status, serviceTimeMicros);
    }
}
