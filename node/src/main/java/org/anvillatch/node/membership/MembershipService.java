package org.anvillatch.node.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.membership.MembershipAction;
import org.anvillatch.decision.membership.MembershipDigest;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.GossipMessages;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the messages that {@link Membership} asks for and answers those of other hosts. Owned by the decision loop.
 */
public final class MembershipService {
    /** Time between two ticks, in microseconds. */
    public static final long TICK_MICROS = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);
    private static final long MESSAGE_TIMEOUT_MICROS = 1_000_000;
    /** Hosts that are told of a change at once; more would make the cost of a change grow with the system. */
    private static final int ANNOUNCEMENTS = 32;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final VersionExchange versions;

    /**
     * Creates the service.
     *
     * @param loop runs callbacks
     * @param state decision state of the host
     * @param peers sends to other hosts
     * @param versions learns which hosts have newer versions
     */
    public MembershipService(DecisionLoop loop, HostState state, PeerClient peers, VersionExchange versions) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.versions = versions;
    }

    /** Sends what is due. */
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
        return versions.version();
    }

    private void ping(String address, String target) {
        peers.send(address, pingMessage(target), MESSAGE_TIMEOUT_MICROS, new Listener(address) {
            @Override
            void received(PeerMessage message) {
                takeAnswer(address, target, message);
            }
        });
    }

    private PeerMessage pingMessage(String target) {
        Membership membership = state.membership();
        List<Member> updates = new ArrayList<>(membership.updatesToSend());
        Member known = membership.find(target);
        if (known != null && known.status() != MemberStatus.ALIVE) {
            // The target can only refute what it hears.
            updates.add(known);
        }
        return new GossipMessages.Ping(membership.self(), updates, version());
    }

    private void takeAnswer(String address, String target, PeerMessage message) {
        if (message instanceof GossipMessages.PingAnswer answer) {
            state.membership().learn(answer.updates(), loop.nowMicros());
            // Another life of the host, or another host at the same address, does not vouch for the target.
            if (answer.name().equals(target)) {
                state.membership().answered(target);
            }
            versions.heard(address, answer.version());
        }
    }

    private void indirectPing(MembershipAction.IndirectPing action) {
        PeerMessage request = new GossipMessages.IndirectPing(action.target(), action.targetAddress());
        peers.send(action.address(), request, MESSAGE_TIMEOUT_MICROS, new Listener(action.address()) {
            @Override
            void received(PeerMessage message) {
                if (message instanceof GossipMessages.Acknowledge answer && answer.accepted()) {
                    state.membership().answered(action.target());
                }
            }
        });
    }

    private void synchronize(String address) {
        Membership membership = state.membership();
        int buckets = MembershipDigest.buckets(membership.size());
        GossipMessages.Synchronize request = new GossipMessages.Synchronize(
                membership.self().address(),
                MembershipDigest.of(membership.all(), buckets),
                state.suspects().all(),
                version());
        peers.send(address, request, MESSAGE_TIMEOUT_MICROS, new Listener(address) {
            @Override
            void received(PeerMessage message) {
                if (message instanceof GossipMessages.SynchronizeAnswer answer) {
                    takeAnswer(address, buckets, answer);
                }
            }
        });
    }

    private void takeAnswer(String address, int buckets, GossipMessages.SynchronizeAnswer answer) {
        Membership membership = state.membership();
        List<Member> own = MembershipDigest.select(membership.all(), answer.differing(), buckets);
        membership.learn(answer.members(), loop.nowMicros());
        answer.suspicions().forEach(state.suspects()::add);
        versions.heard(address, answer.version());
        if (!own.isEmpty()) {
            peers.send(address, new GossipMessages.Members(own), MESSAGE_TIMEOUT_MICROS, new Listener(address));
        }
    }

    /**
     * Answers a ping.
     *
     * @param ping the request
     * @param reply sends the answer
     */
    public void answer(GossipMessages.Ping ping, PeerServer.Reply reply) {
        List<Member> heard = new ArrayList<>(ping.updates());
        heard.add(ping.sender());
        state.membership().learn(heard, loop.nowMicros());
        versions.heard(ping.sender().address(), ping.version());
        Membership membership = state.membership();
        List<Member> updates = new ArrayList<>(membership.updatesToSend());
        Member known = membership.find(ping.sender().host().name());
        if (known != null && known.overrides(ping.sender())) {
            updates.add(known);
        }
        reply.send(new GossipMessages.PingAnswer(membership.self().host().name(), updates, version()));
    }

    /**
     * Pings a host on behalf of another one.
     *
     * @param request the request
     * @param reply sends the answer
     */
    public void answer(GossipMessages.IndirectPing request, PeerServer.Reply reply) {
        peers.send(
                request.targetAddress(),
                pingMessage(request.target()),
                MESSAGE_TIMEOUT_MICROS,
                new PeerClient.AnswerListener() {
                    @Override
                    public void answered(PeerMessage message) {
                        boolean alive = message instanceof GossipMessages.PingAnswer answer
                                && answer.name().equals(request.target());
                        reply.send(new GossipMessages.Acknowledge(alive));
                    }

                    @Override
                    public void failed(PeerClient.PeerFailure failure) {
                        reply.send(new GossipMessages.Acknowledge(false));
                    }
                });
    }

    /**
     * Answers a comparison of views.
     *
     * @param request the request
     * @param reply sends the answer
     */
    public void answer(GossipMessages.Synchronize request, PeerServer.Reply reply) {
        List<Member> all = state.membership().all();
        int buckets = request.digest().length;
        Set<Integer> differing = MembershipDigest.differing(request.digest(), MembershipDigest.of(all, buckets));
        request.suspicions().forEach(state.suspects()::add);
        versions.heard(request.sender(), request.version());
        reply.send(new GossipMessages.SynchronizeAnswer(
                differing,
                MembershipDigest.select(all, differing, buckets),
                state.suspects().all(),
                version()));
    }

    /**
     * Takes members that another host hands on.
     *
     * @param message the members
     * @param reply sends the answer
     */
    public void answer(GossipMessages.Members message, PeerServer.Reply reply) {
        state.membership().learn(message.members(), loop.nowMicros());
        reply.send(new GossipMessages.Acknowledge(true));
    }

    /**
     * Tells all hosts that may run the same service about requests that crash endpoints.
     *
     * @param suspicions new suspicions
     */
    public void spread(List<CrashSuspects.Suspicion> suspicions) {
        String service = state.membership().self().service();
        for (Member member : state.membership().othersPresent()) {
            if (member.service().equals(service)) {
                peers.send(
                        member.address(),
                        new GossipMessages.Suspicions(suspicions),
                        MESSAGE_TIMEOUT_MICROS,
                        new Listener(member.address()));
            }
        }
    }

    /** Says farewell to a few hosts, which spread the word. */
    public void leave() {
        state.membership().leave();
        tellOthers();
    }

    /** Tells up to a bounded number of hosts at once of a change of this host; gossip tells the others. */
    public void announce() {
        tellOthers();
    }

    private void tellOthers() {
        List<Member> others = state.membership().othersPresent();
        for (Member member : others.subList(0, Math.min(ANNOUNCEMENTS, others.size()))) {
            GossipMessages.Ping ping =
                    new GossipMessages.Ping(state.membership().self(), List.of(), version());
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
