package org.anvillatch.node.peer;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.ConfigurationSnapshot;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MembershipDigest;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.operator.HostStatus;

/**
 * Messages between hosts other than calls and their answers. All are immutable and thread safe.
 */
public final class ControlMessages {
    private ControlMessages() {}

    /**
     * Checks whether a host is alive.
     *
     * @param sender the host that sends the ping
     * @param updates recent membership updates
     * @param version version of the data that the sender holds, see VersionedState
     */
    public record Ping(Member sender, List<Member> updates, long version) implements PeerMessage {
        /** Checks that no part is missing. */
        public Ping {
            Objects.requireNonNull(sender, "sender");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Answers a ping.
     *
     * @param name name of the answering host
     * @param updates recent membership updates
     * @param version version of the data that the answering host holds, see VersionedState
     * @param incarnation incarnation of the answering host, 0 from a node of an earlier version
     */
    public record PingAnswer(String name, List<Member> updates, long version, long incarnation) implements PeerMessage {
        /** Checks that no part is missing. */
        public PingAnswer {
            Objects.requireNonNull(name, "name");
            updates = List.copyOf(updates);
        }
    }

    /**
     * Asks a host to ping another host.
     *
     * @param target name of the host to ping
     * @param targetAddress IP address and port of the host to ping
     * @param incarnation incarnation of the host to ping, 0 from a node of an earlier version
     */
    public record IndirectPing(String target, String targetAddress, long incarnation) implements PeerMessage {}

    /**
     * Compares the membership views of two hosts.
     *
     * @param sender peer address of the sender
     * @param digest one checksum for each bucket of the sender's view
     * @param suspicions all suspicions that the sender holds
     * @param version version of the data that the sender holds, see VersionedState
     */
    public record Synchronize(String sender, int[] digest, List<CrashSuspects.Suspicion> suspicions, long version)
            implements PeerMessage {
        /** Checks that no part is missing and that the digest is one of a view. */
        public Synchronize {
            Objects.requireNonNull(sender, "sender");
            suspicions = List.copyOf(suspicions);
            if (Integer.bitCount(digest.length) != 1 || digest.length > MembershipDigest.MAX_BUCKETS) {
                throw new IllegalArgumentException("digest with " + digest.length + " buckets");
            }
        }
    }

    /**
     * Answers a comparison of membership views.
     *
     * @param differing indexes of the buckets in which the views differ
     * @param members members in these buckets, as the answering host knows them
     * @param suspicions all suspicions that the answering host holds
     * @param version version of the data that the answering host holds, see VersionedState
     */
    public record SynchronizeAnswer(
            Set<Integer> differing, List<Member> members, List<CrashSuspects.Suspicion> suspicions, long version)
            implements PeerMessage {
        /** Checks that no part is missing. */
        public SynchronizeAnswer {
            differing = Set.copyOf(differing);
            members = List.copyOf(members);
            suspicions = List.copyOf(suspicions);
        }
    }

    /**
     * Sends members to a host whose view differs.
     *
     * @param members the members as the sender knows them
     */
    public record Members(List<Member> members) implements PeerMessage {
        /** Checks that no part is missing. */
        public Members {
            members = List.copyOf(members);
        }
    }

    /**
     * Cancels a request.
     *
     * @param correlation number of the request on the connection that carries this message
     */
    public record Cancel(long correlation) implements PeerMessage {}

    /**
     * Requests the configuration.
     *
     * @param coveredPosition position up to which the requesting host has applied the stream
     */
    public record ConfigurationRequest(long coveredPosition) implements PeerMessage {}

    /**
     * A record of the configuration stream and its position.
     *
     * @param position {@link org.anvillatch.decision.model.LogPosition} in the stream
     * @param entry the record
     */
    public record PositionedRecord(long position, ConfigurationRecord entry) {}

    /**
     * Sends the configuration to another host, as an answer or as a push without a request.
     *
     * @param snapshot configuration of the sender, null if the records suffice or the sender has none yet
     * @param records records in offset order
     * @param host name of the sender
     * @param domain failure domain of the sender
     */
    public record ConfigurationAnswer(
            ConfigurationSnapshot snapshot, List<PositionedRecord> records, String host, String domain)
            implements PeerMessage {}

    /**
     * Reports requests that are suspected of crashing endpoints.
     *
     * @param suspicions pairs of a request's fingerprint and a crash at which the request was running
     */
    public record Suspicions(List<CrashSuspects.Suspicion> suspicions) implements PeerMessage {
        /** Checks that no part is missing. */
        public Suspicions {
            suspicions = List.copyOf(suspicions);
        }
    }

    /**
     * Acknowledges a message.
     *
     * @param accepted false if the receiver could not do what the message asks for
     */
    public record Acknowledge(boolean accepted) implements PeerMessage {}

    /**
     * Requests decisions that a host keeps in memory.
     *
     * @param request identifier of one root request, or empty for all refusals
     */
    public record DecisionsRequest(String request) implements PeerMessage {}

    /**
     * Answers with decisions.
     *
     * @param decisions the decisions, oldest first
     */
    public record DecisionsAnswer(List<Decision> decisions) implements PeerMessage {}

    /** Requests the current route table. */
    public record RouteTableRequest() implements PeerMessage {}

    /**
     * Answers with the route table.
     *
     * @param table the current table, or null if the host has none yet
     */
    public record RouteTableAnswer(RouteTable table) implements PeerMessage {}

    /** Checks whether the connection still carries frames. The answer is {@link Acknowledge}. */
    public record ConnectionCheck() implements PeerMessage {}

    /** Requests the state of a host. */
    public record StatusRequest() implements PeerMessage {}

    /**
     * Answers with the state of a host.
     *
     * @param status current state of the answering host
     */
    public record StatusAnswer(HostStatus status) implements PeerMessage {}

    /**
     * Tells a witness which processes of the endpoint on a host are leaving. The answer is {@link Acknowledge}.
     *
     * @param host name of the host
     * @param processes identities of the processes, the latest last
     */
    public record LeavingNotice(String host, List<String> processes) implements PeerMessage {
        /** Checks that no part is missing. */
        public LeavingNotice {
            Objects.requireNonNull(host, "host");
            processes = List.copyOf(processes);
        }
    }

    /**
     * Asks a witness which processes of the endpoint on a host are leaving.
     *
     * @param host name of the host
     */
    public record LeavingQuery(String host) implements PeerMessage {
        /** Checks that no part is missing. */
        public LeavingQuery {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * Answers which processes of the endpoint on a host are leaving.
     *
     * @param processes identities of the processes, the latest last; empty if none is known
     * @param uptimeMicros time for which the answering node has run, in microseconds; 0 from a node of an earlier version
     */
    public record LeavingAnswer(List<String> processes, long uptimeMicros) implements PeerMessage {
        /** Checks that no part is missing. */
        public LeavingAnswer {
            processes = List.copyOf(processes);
        }
    }
}
