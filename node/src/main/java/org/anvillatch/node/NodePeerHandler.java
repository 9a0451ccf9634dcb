package org.anvillatch.node;

import java.util.function.Supplier;

import org.anvillatch.node.call.Call;
import org.anvillatch.node.call.IdempotencyService;
import org.anvillatch.node.call.KeyedCallMessage;
import org.anvillatch.node.configuration.ConfigurationService;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.operator.HostStatus;
import org.anvillatch.node.operator.QuestionCommand;
import org.anvillatch.node.peer.ControlMessages;
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
    private final Services services;

    /** Receivers of requests. */
    record Services(
            PeerRequestHandler shared,
            IdempotencyService effects,
            ConfigurationService configuration,
            QuestionCommand questions,
            Supplier<HostStatus> status) {}

    NodePeerHandler(DecisionLoop loop, Services services) {
        this.loop = loop;
        this.services = services;
    }

    @Override
    public void request(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        loop.execute(() -> take(origin, message, reply));
    }

    private void take(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        if (message instanceof KeyedCallMessage owned) {
            services.effects().runAsOwner(callOf(owned), reply::send);
        } else if (message instanceof ControlMessages.ConfigurationRequest request) {
            reply.send(services.configuration().answer(request.coveredOffset()));
        } else if (message instanceof ControlMessages.ConfigurationAnswer pushed) {
            services.configuration().merge(pushed);
            reply.send(new ControlMessages.Acknowledge(true));
        } else if (message instanceof ControlMessages.DecisionsRequest request) {
            reply.send(new ControlMessages.DecisionsAnswer(services.questions().decisionsHere(request.request())));
        } else if (message instanceof ControlMessages.StatusRequest) {
            reply.send(new ControlMessages.StatusAnswer(services.status().get()));
        } else if (!services.shared().take(origin, message, reply)) {
            LOG.warn("request of type {} is not served", message.getClass().getSimpleName());
        }
    }

    private Call callOf(KeyedCallMessage message) {
        return new Call(
                message.context(),
                message.operation(),
                message.policy(),
                message.body(),
                message.key(),
                message.fingerprint(),
                loop.nowMicros() + message.remainingMicros(),
                message.retries(),
                0,
                null);
    }

    @Override
    public void connectionClosed(PeerConnection connection) {
        services.shared().connectionClosed(connection);
    }
}
