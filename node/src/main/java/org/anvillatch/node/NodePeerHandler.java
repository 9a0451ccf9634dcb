package org.anvillatch.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.anvillatch.node.call.Call;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.EffectService;
import org.anvillatch.node.call.Gatekeeping;
import org.anvillatch.node.call.OwnedCallMessage;
import org.anvillatch.node.configuration.ConfigurationService;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.MembershipService;
import org.anvillatch.node.operator.HostStatus;
import org.anvillatch.node.operator.QuestionCommand;
import org.anvillatch.node.peer.GossipMessages;
import org.anvillatch.node.peer.PeerConnection;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands each request of another host to the service it is for. Thread safe; services run on the decision loop.
 */
final class NodePeerHandler implements PeerServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(NodePeerHandler.class);

    private final DecisionLoop loop;
    private final HostState state;
    private final Services services;
    private final Map<PeerServer.RequestOrigin, Long> dispatches = new HashMap<>();

    /** Receivers of requests. */
    record Services(
            Gatekeeping gatekeeping,
            EffectService effects,
            MembershipService membership,
            ConfigurationService configuration,
            QuestionCommand questions,
            Supplier<HostStatus> status) {}

    NodePeerHandler(DecisionLoop loop, HostState state, Services services) {
        this.loop = loop;
        this.state = state;
        this.services = services;
    }

    @Override
    public void request(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        loop.execute(() -> take(origin, message, reply));
    }

    private void take(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        if (message instanceof DispatchMessage dispatch) {
            dispatch(origin, dispatch, reply);
        } else if (message instanceof OwnedCallMessage owned) {
            services.effects().runAsOwner(callOf(owned), reply::send);
        } else if (message instanceof GossipMessages.Cancel cancel) {
            cancel(new PeerServer.RequestOrigin(origin.connection(), cancel.correlation()));
        } else if (message instanceof GossipMessages.Ping ping) {
            services.membership().answer(ping, reply);
        } else if (message instanceof GossipMessages.IndirectPing ping) {
            services.membership().answer(ping, reply);
        } else if (message instanceof GossipMessages.Synchronize synchronize) {
            services.membership().answer(synchronize, reply);
        } else if (message instanceof GossipMessages.Members members) {
            services.membership().answer(members, reply);
        } else if (message instanceof GossipMessages.ConfigurationRequest request) {
            reply.send(services.configuration().answer(request.coveredOffset()));
        } else if (message instanceof GossipMessages.ConfigurationAnswer pushed) {
            services.configuration().learn(pushed);
            reply.send(new GossipMessages.Acknowledge(true));
        } else if (message instanceof GossipMessages.Suspicions suspicions) {
            suspicions.suspicions().forEach(state.suspects()::add);
            reply.send(new GossipMessages.Acknowledge(true));
        } else if (message instanceof GossipMessages.DecisionsRequest request) {
            reply.send(new GossipMessages.DecisionsAnswer(services.questions().decisionsHere(request.request())));
        } else if (message instanceof GossipMessages.StatusRequest) {
            reply.send(new GossipMessages.StatusAnswer(services.status().get()));
        } else {
            LOG.warn("request of type {} is not served", message.getClass().getSimpleName());
        }
    }

    private void dispatch(PeerServer.RequestOrigin origin, DispatchMessage message, PeerServer.Reply reply) {
        long number = services.gatekeeping().dispatch(message, answer -> {
            dispatches.remove(origin);
            reply.send(answer);
        });
        if (services.gatekeeping().isOpen(number)) {
            dispatches.put(origin, number);
        }
    }

    private void cancel(PeerServer.RequestOrigin origin) {
        Long number = dispatches.get(origin);
        if (number != null) {
            services.gatekeeping().cancel(number);
        }
    }

    private Call callOf(OwnedCallMessage message) {
        return new Call(
                message.context(),
                message.operation(),
                message.policy(),
                message.body(),
                message.key(),
                message.fingerprint(),
                loop.nowMicros() + message.remainingMicros(),
                message.retries());
    }

    @Override
    public void connectionClosed(PeerConnection connection) {
        loop.execute(() -> {
            // The sender is gone or cut off: nobody waits for what has not started.
            for (PeerServer.RequestOrigin origin : List.copyOf(dispatches.keySet())) {
                if (origin.connection() == connection) {
                    cancel(origin);
                }
            }
        });
    }
}
