package org.anvillatch.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.MembershipService;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerConnection;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.anvillatch.node.routes.RouteTableService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves what every host asks of another one, whatever its interface to callers: dispatches, gossip and route tables.
 *
 * <p>Invariant: work of a connection that has closed is withdrawn. Thread safe: decides on the loop.
 */
public final class PeerRequestHandler implements PeerServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRequestHandler.class);

    private final DecisionLoop loop;
    private final HostState state;
    private final GatekeeperService gatekeeperService;
    private final MembershipService membership;
    private final RouteTableService routes;
    private final Map<PeerServer.RequestOrigin, Long> dispatches = new HashMap<>();

    /**
     * Creates the handler.
     *
     * @param loop runs decisions
     * @param state decision state of the host
     * @param gatekeeperService takes dispatches
     * @param membership takes gossip
     * @param routes hands the route table on
     */
    public PeerRequestHandler(
            DecisionLoop loop,
            HostState state,
            GatekeeperService gatekeeperService,
            MembershipService membership,
            RouteTableService routes) {
        this.loop = loop;
        this.state = state;
        this.gatekeeperService = gatekeeperService;
        this.membership = membership;
        this.routes = routes;
    }

    @Override
    public void request(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        loop.execute(() -> {
            if (!take(origin, message, reply)) {
                LOG.warn("request of type {} is not served", message.getClass().getSimpleName());
            }
        });
    }

    /**
     * Serves one request, on the loop.
     *
     * @param origin connection and correlation
     * @param message the request
     * @param reply sends the answer
     * @return false if requests of this type are not served here
     */
    boolean take(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        if (message instanceof DispatchMessage dispatch) {
            dispatch(origin, dispatch, reply);
        } else if (message instanceof ControlMessages.Cancel cancel) {
            cancel(new PeerServer.RequestOrigin(origin.connection(), cancel.correlation()));
        } else if (message instanceof ControlMessages.Ping ping) {
            membership.answer(ping, reply);
        } else if (message instanceof ControlMessages.IndirectPing ping) {
            membership.answer(ping, reply);
        } else if (message instanceof ControlMessages.Synchronize synchronize) {
            membership.answer(synchronize, reply);
        } else if (message instanceof ControlMessages.Members members) {
            membership.answer(members, reply);
        } else if (message instanceof ControlMessages.Suspicions suspicions) {
            suspicions.suspicions().forEach(state.suspects()::add);
            reply.send(new ControlMessages.Acknowledge(true));
        } else if (message instanceof ControlMessages.RouteTableRequest) {
            reply.send(routes.answer());
        } else if (message instanceof ControlMessages.ConnectionCheck) {
            reply.send(new ControlMessages.Acknowledge(true));
        } else {
            return false;
        }
        return true;
    }

    private void dispatch(PeerServer.RequestOrigin origin, DispatchMessage message, PeerServer.Reply reply) {
        long number = gatekeeperService.dispatch(message, answer -> {
            dispatches.remove(origin);
            reply.send(answer);
        });
        if (gatekeeperService.isPending(number)) {
            dispatches.put(origin, number);
        }
    }

    private void cancel(PeerServer.RequestOrigin origin) {
        Long number = dispatches.get(origin);
        if (number != null) {
            gatekeeperService.cancel(number);
        }
    }

    @Override
    public void connectionClosed(PeerConnection connection) {
        loop.execute(() -> {
            // The sender is gone or cut off: nobody waits for its work.
            for (PeerServer.RequestOrigin origin : List.copyOf(dispatches.keySet())) {
                if (origin.connection() == connection) {
                    cancel(origin);
                }
            }
        });
    }
}
