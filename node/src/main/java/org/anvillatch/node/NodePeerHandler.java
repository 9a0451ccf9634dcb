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
 * Passes each request of another host to the service that handles it. Thread safe: services run on the decision loop.
 */
final class NodePeerHandler implements PeerServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(NodePeerHandler.class);

    private final DecisionLoop loop;
    private final Services services;

    /** The services that handle requests. */
    record Services(
            PeerRequestHandler common,
            IdempotencyService idempotency,
            ConfigurationService configuration,
            QuestionCommand questions,
            Supplier<HostStatus> status) {}

    NodePeerHandler(DecisionLoop loop, Services services) {
        this.loop = loop;
        this.services = services;
    }

    @Override
    public void handleRequest(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        loop.execute(() -> handle(origin, message, reply));
    }

    private void handle(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        if (message instanceof KeyedCallMessage keyedCall) {
            services.idempotency().runAsOwner(toCall(keyedCall), reply::send);
        } else if (message instanceof ControlMessages.ConfigurationRequest request) {
            reply.send(services.configuration().answer(request.coveredPosition()));
        } else if (message instanceof ControlMessages.ConfigurationAnswer pushedAnswer) {
            services.configuration().merge(pushedAnswer);
            reply.send(new ControlMessages.Acknowledge(true));
        } else if (message instanceof ControlMessages.DecisionsRequest request) {
            reply.send(new ControlMessages.DecisionsAnswer(services.questions().localDecisions(request.request())));
        } else if (message instanceof ControlMessages.StatusRequest) {
            reply.send(new ControlMessages.StatusAnswer(services.status().get()));
        } else if (!services.common().handle(origin, message, reply)) {
            LOG.warn("request of type {} is not handled", message.getClass().getSimpleName());
        }
    }

    private Call toCall(KeyedCallMessage message) {
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
        services.common().connectionClosed(connection);
    }
}
