package org.anvillatch.node.peer;

import java.util.List;
import java.util.Set;

import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.ConfigurationSnapshot;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.operator.HostStatus;

/**
 * Messages that keep hosts informed of each other. All are immutable and thread safe.
 */
public final class ControlMessages {
    private ControlMessages() {}

    /**
     * Asks whether a host is alive.
     *
     * @param sender who asks
     * @param updates changes of members
     * @param version how new the copy is that the sender holds, see VersionedState
     */
    public record Ping(Member sender, List<Member> updates, long version) implements PeerMessage {}

    /**
     * Answers a ping.
     *
     * @param name name of the host that answers
     * @param updates changes of members
     * @param version how new the copy is that it holds, see VersionedState
     */
    public record PingAnswer(String name, List<Member> updates, long version) implements PeerMessage {}

    /**
     * Asks a host to ping another one.
     *
     * @param target name of the host in question
     * @param targetAddress its IP number and port
     */
    public record IndirectPing(String target, String targetAddress) implements PeerMessage {}

    /**
     * Compares views.
     *
     * @param sender address of the sender
     * @param digest summary of the sender's view
     * @param suspicions all suspicions
     * @param version how new the copy is that the sender holds, see VersionedState
     */
    public record Synchronize(String sender, int[] digest, List<CrashSuspects.Suspicion> suspicions, long version)
            implements PeerMessage {}

    /**
     * Answers a comparison.
     *
     * @param differing numbers of the buckets in which the views differ
     * @param members the answering host's members of these buckets
     * @param suspicions all suspicions
     * @param version how new the copy is that the answering host holds, see VersionedState
     */
    public record SynchronizeAnswer(
            Set<Integer> differing, List<Member> members, List<CrashSuspects.Suspicion> suspicions, long version)
            implements PeerMessage {}

    /**
     * Hands members on.
     *
     * @param members what the sender knows
     */
    public record Members(List<Member> members) implements PeerMessage {}

    /**
     * Withdraws a request.
     *
     * @param correlation number of the request on this connection
     */
    public record Cancel(long correlation) implements PeerMessage {}

    /**
     * Asks for the configuration.
     *
     * @param coveredOffset how much the asking host has reduced
     */
    public record ConfigurationRequest(long coveredOffset) implements PeerMessage {}

    /**
     * A record of the configuration stream with its place.
     *
     * @param offset offset in the stream
     * @param entry the record
     */
    public record OffsetRecord(long offset, ConfigurationRecord entry) {}

    /**
     * Hands the configuration on.
     *
     * @param snapshot what is held, null if the records suffice or nothing is known
     * @param records records in offset order
     * @param host name of the host
     * @param domain its failure domain
     */
    public record ConfigurationAnswer(
            ConfigurationSnapshot snapshot, List<OffsetRecord> records, String host, String domain)
            implements PeerMessage {}

    /**
     * Spreads suspicions.
     *
     * @param suspicions requests and crashes
     */
    public record Suspicions(List<CrashSuspects.Suspicion> suspicions) implements PeerMessage {}

    /**
     * Confirms that something was received.
     *
     * @param accepted false if it could not be used
     */
    public record Acknowledge(boolean accepted) implements PeerMessage {}

    /**
     * Asks for remembered decisions.
     *
     * @param request identity of one root request, or empty for all refusals
     */
    public record DecisionsRequest(String request) implements PeerMessage {}

    /**
     * Answers with decisions.
     *
     * @param decisions oldest first
     */
    public record DecisionsAnswer(List<Decision> decisions) implements PeerMessage {}

    /** Asks for the route table in force. */
    public record RouteTableRequest() implements PeerMessage {}

    /**
     * Hands the route table on.
     *
     * @param table the table in force, or null before the first
     */
    public record RouteTableAnswer(RouteTable table) implements PeerMessage {}

    /** Asks for a sign that the connection still carries frames; answered by {@link Acknowledge}. */
    public record ConnectionCheck() implements PeerMessage {}

    /** Asks for the state of a host. */
    public record StatusRequest() implements PeerMessage {}

    /**
     * Answers with the state of a host.
     *
     * @param status state at this moment
     */
    public record StatusAnswer(HostStatus status) implements PeerMessage {}
}
