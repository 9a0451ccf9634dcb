package org.anvillatch.node.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.membership.MembershipAction;
import org.anvillatch.decision.membership.MembershipDigest;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the messages that {@link Membership} requests and answers those of other hosts. Not thread safe: all methods
 * are called on the decision loop.
 */
public final class MembershipService {
    /** Time between two ticks, in microseconds. */
    public static final long TICK_PERIOD_MICROS = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);
    private static final long MESSAGE_TIMEOUT_MICROS = 1_000_000;
    /**
     * Maximum number of hosts that are notified of a change directly, so that the cost of a change does not grow with
     * the number of hosts.
     */
    private static final int MAX_NOTIFIED_HOSTS = 32;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final VersionedState versionedState;
    private boolean synchronizedOnce;

    /**
     * Creates the service.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param peers client for other hosts
     * @param versionedState data whose version is sent with gossip
     */
    public MembershipService(DecisionLoop loop, HostState state, PeerClient peers, VersionedState versionedState) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.versionedState = versionedState;
    }

    /** Sends the messages that are due. */
    public void tick() {
        for (MembershipAction action : state.membership().tick(loop.nowMicros(), state.random())) {
            if (action instanceof MembershipAction.Ping ping) {
                ping(ping.address(), ping.target());
            } else if (action instanceof MembershipAction.IndirectPing indirect) {
                indirectPing(indirect);
            } else if (action instanceof MembershipAction.Synchronize synchronize) {
                synchronize(synchronize.address());
            }
        }
    }

    private long version() {
        return versionedState.version();
    }

    private void ping(String address, String target) {
        Member pinged = state.membership().find(target);
        long incarnation = pinged == null ? 0 : pinged.host().incarnation();
        peers.send(address, pingMessage(target), MESSAGE_TIMEOUT_MICROS, new Listener(address) {
            @Override
            void received(PeerMessage message) {
                handleAnswer(address, new HostIdentity(target, incarnation), message);
            }
        });
    }

    private PeerMessage pingMessage(String target) {
        Membership membership = state.membership();
        List<Member> updates = new ArrayList<>(membership.updatesToSend());
        Member known = membership.find(target);
        if (known != null && known.status() != MemberStatus.ALIVE) {
            // The target can refute its status only if the ping carries it.
            updates.add(known);
        }
        return new ControlMessages.Ping(membership.self(), updates, version());
    }

    private void handleAnswer(String address, HostIdentity target, PeerMessage message) {
        if (message instanceof ControlMessages.PingAnswer answer) {
            state.membership().mergeUpdates(answer.updates(), loop.nowMicros());
            if (isFrom(target, answer)) {
                state.membership().answered(target.name());
            }
            versionedState.peerVersionReceived(address, answer.version());
        }
    }

    /**
     * Returns whether an answer shows that the pinged incarnation of a host is alive; another host, or a later process on
     * the same host, may use the address by now. A node of an earlier version does not name its incarnation.
     */
    private static boolean isFrom(HostIdentity target, ControlMessages.PingAnswer answer) {
        boolean incarnationMatches =
                answer.incarnation() == 0 || target.incarnation() == 0 || answer.incarnation() == target.incarnation();
        return answer.name().equals(target.name()) && incarnationMatches;
    }

    private void indirectPing(MembershipAction.IndirectPing action) {
        Member pinged = state.membership().find(action.target());
        long incarnation = pinged == null ? 0 : pinged.host().incarnation();
        PeerMessage request = new ControlMessages.IndirectPing(action.target(), action.targetAddress(), incarnation);
        peers.send(action.address(), request, MESSAGE_TIMEOUT_MICROS, new Listener(action.address()) {
            @Override
            void received(PeerMessage message) {
                if (message instanceof ControlMessages.Acknowledge answer && answer.accepted()) {
                    state.membership().answered(action.target());
                }
            }
        });
    }

    private void synchronize(String address) {
        Membership membership = state.membership();
        int buckets = MembershipDigest.buckets(membership.size());
        ControlMessages.Synchronize request = new ControlMessages.Synchronize(
                membership.self().address(),
                MembershipDigest.of(membership.all(), buckets),
                state.suspects().all(),
                version());
        peers.send(address, request, MESSAGE_TIMEOUT_MICROS, new Listener(address) {
            @Override
            void received(PeerMessage message) {
                if (message instanceof ControlMessages.SynchronizeAnswer answer) {
                    handleAnswer(address, buckets, answer);
                }
            }
        });
    }

    /**
     * Returns whether another host has answered with its view since the start.
     *
     * @return true if the view of this host contains what that host knew
     */
    boolean isSynchronized() {
        return synchronizedOnce;
    }

    private void handleAnswer(String address, int buckets, ControlMessages.SynchronizeAnswer answer) {
        synchronizedOnce = true;
        Membership membership = state.membership();
        List<Member> own = MembershipDigest.select(membership.all(), answer.differing(), buckets);
        membership.mergeUpdates(answer.members(), loop.nowMicros());
        answer.suspicions().forEach(state.suspects()::add);
        versionedState.peerVersionReceived(address, answer.version());
        if (!own.isEmpty()) {
            peers.send(address, new ControlMessages.Members(own), MESSAGE_TIMEOUT_MICROS, new Listener(address));
        }
    }

    /**
     * Answers a ping.
     *
     * @param ping the request
     * @param reply sends the answer
     */
    public void answer(ControlMessages.Ping ping, PeerServer.Reply reply) {
        List<Member> receivedMembers = new ArrayList<>(ping.updates());
        receivedMembers.add(ping.sender());
        state.membership().mergeUpdates(receivedMembers, loop.nowMicros());
        versionedState.peerVersionReceived(ping.sender().address(), ping.version());
        Membership membership = state.membership();
        List<Member> updates = new ArrayList<>(membership.updatesToSend());
        Member known = membership.find(ping.sender().host().name());
        if (known != null && known.supersedes(ping.sender())) {
            updates.add(known);
        }
        HostIdentity self = membership.self().host();
        reply.send(new ControlMessages.PingAnswer(self.name(), updates, version(), self.incarnation()));
    }

    /**
     * Pings a host on behalf of another host.
     *
     * @param request the request
     * @param reply sends the answer
     */
    public void answer(ControlMessages.IndirectPing request, PeerServer.Reply reply) {
        peers.send(
                request.targetAddress(),
                pingMessage(request.target()),
                MESSAGE_TIMEOUT_MICROS,
                new PeerClient.AnswerListener() {
                    @Override
                    public void answered(PeerMessage message) {
                        HostIdentity target = new HostIdentity(request.target(), request.incarnation());
                        boolean alive = message instanceof ControlMessages.PingAnswer answer && isFrom(target, answer);
                        reply.send(new ControlMessages.Acknowledge(alive));
                    }

                    @Override
                    public void failed(PeerClient.PeerFailure failure) {
                        reply.send(new ControlMessages.Acknowledge(false));
                    }
                });
    }

    /**
     * Answers a comparison of membership views.
     *
     * @param request the request
     * @param reply sends the answer
     */
    public void answer(ControlMessages.Synchronize request, PeerServer.Reply reply) {
        List<Member> all = state.membership().all();
        int buckets = request.digest().length;
        Set<Integer> differing = MembershipDigest.differing(request.digest(), MembershipDigest.of(all, buckets));
        request.suspicions().forEach(state.suspects()::add);
        versionedState.peerVersionReceived(request.sender(), request.version());
        reply.send(new ControlMessages.SynchronizeAnswer(
                differing,
                MembershipDigest.select(all, differing, buckets),
                state.suspects().all(),
                version()));
    }

    /**
     * Merges members that another host has sent.
     *
     * @param message the members
     * @param reply sends the answer
     */
    public void answer(ControlMessages.Members message, PeerServer.Reply reply) {
        state.membership().mergeUpdates(message.members(), loop.nowMicros());
        reply.send(new ControlMessages.Acknowledge(true));
    }

    /**
     * Reports requests that are suspected of crashing endpoints to all hosts of the same service.
     *
     * @param suspicions new suspicions
     */
    public void broadcastSuspicions(List<CrashSuspects.Suspicion> suspicions) {
        String service = state.membership().self().service();
        for (Member member : state.membership().presentPeers()) {
            if (member.service().equals(service)) {
                peers.send(
                        member.address(),
                        new ControlMessages.Suspicions(suspicions),
                        MESSAGE_TIMEOUT_MICROS,
                        new Listener(member.address()));
            }
        }
    }

    /** Marks this host as left and notifies a limited number of hosts, which gossip the change to the others. */
    public void leave() {
        state.membership().leave();
        notifyOthers();
    }

    /** Notifies a limited number of hosts of a change of this host; gossip carries it to the others. */
    public void announceSelf() {
        notifyOthers();
    }

    private void notifyOthers() {
        List<Member> others = state.membership().presentPeers();
        for (Member member : others.subList(0, Math.min(MAX_NOTIFIED_HOSTS, others.size()))) {
            ControlMessages.Ping ping =
                    new ControlMessages.Ping(state.membership().self(), List.of(), version());
            peers.send(member.address(), ping, MESSAGE_TIMEOUT_MICROS, new Listener(member.address()));
        }
    }

    private static class Listener implements PeerClient.AnswerListener {
        private final String address;

        Listener(String address) {
            this.address = address;
        }

        void received(PeerMessage message) {
            LOG.trace("{} answered with {}", address, message);
        }

        @Override
        public void answered(PeerMessage message) {
            received(message);
        }

        @Override
        public void failed(PeerClient.PeerFailure failure) {
            LOG.debug("no answer from {}: {}", address, failure);
        }
    }
}
