package org.anvillatch.decision.membership;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.HostIdentity;

/**
 * What is known of one host. Immutable and thread safe.
 *
 * @param host life of the host
 * @param update number of the host's own latest word within this life; larger is later
 * @param address IP number and port for other hosts
 * @param domain failure domain
 * @param service service of the endpoint on this host, or empty
 * @param slots slots of the endpoint, 0 if none
 * @param phase phase of the endpoint
 * @param status how the host is believed to be
 * @param serviceTimeMicros usual time of an execution at the endpoint without its calls, in microseconds; 0 while not known
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
     * Tells whether this knowledge replaces other knowledge of the same host name.
     *
     * @param other what is known so far
     * @return true if this is a later life, a later word of the same life, or a stronger belief about the same word
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
     * Returns this knowledge with another belief.
     *
     * @param next the belief
     * @return a copy
     */
    public Member withStatus(MemberStatus next) {
        return new Member(host, update, address, domain, service, slots, phase, next, serviceTimeMicros);
    }

    /**
     * Returns the host's next word about its endpoint.
     *
     * @param newService service of the endpoint, or empty
     * @param newSlots slots of the endpoint
     * @param newPhase phase of the endpoint
     * @param newServiceTimeMicros usual time of an execution, in microseconds, or 0
     * @return a copy with the next update number
     */
    public Member withEndpoint(String newService, int newSlots, EndpointPhase newPhase, long newServiceTimeMicros) {
        return new Member(
                host, update + 1, address, domain, newService, newSlots, newPhase, status, newServiceTimeMicros);
    }

    /**
     * Returns the host's next word that contradicts a wrong belief.
     *
     * @param after update number of the wrong belief
     * @return a copy that overrides the belief
     */
    public Member refuting(long after) {
        long next = Math.max(after, update) + 1;
        return new Member(host, next, address, domain, service, slots, phase, MemberStatus.ALIVE, serviceTimeMicros);
    }

    /**
     * Returns the same host under the identity of a later life.
     *
     * @param identity the new identity
     * @return a copy
     */
    public Member withIdentity(HostIdentity identity) {
        return new Member(identity, update + 1, address, domain, service, slots, phase, status, serviceTimeMicros);
    }
}
