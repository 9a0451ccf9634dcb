package org.anvillatch.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.GatekeeperService;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.LeavingWitnesses;
import org.anvillatch.node.membership.MembershipService;
import org.anvillatch.node.peer.AllowanceMessages;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerConnection;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.anvillatch.node.routes.RouteTableService;
import org.anvillatch.node.team.TeamAllowanceService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the requests between hosts that do not depend on the interface to callers: dispatches, gossip, route
 * tables and allowances of teams.
 *
 * <p>Invariant: the dispatches of a connection are cancelled when it closes. Thread safe: requests are handled on the
 * decision loop.
 */
public final class PeerRequestHandler implements PeerServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerRequestHandler.class);

    private final DecisionLoop loop;
    private final HostState state;
    private final GatekeeperService gatekeeperService;
    private final MembershipService membership;
    private final RouteTableService routes;
    private final LeavingWitnesses witnesses;
    private final TeamAllowanceService allowances;
    private final Map<PeerServer.RequestOrigin, Long> dispatches = new HashMap<>();

    /**
     * Creates the handler.
     *
     * @param loop runs the decisions
     * @param state decision state of the host
     * @param gatekeeperService handles dispatches
     * @param membership handles gossip
     * @param routes returns the route table
     * @param witnesses keeps which endpoints of other hosts are leaving
     * @param allowances handles requests for tokens of teams
     */
    public PeerRequestHandler(
            DecisionLoop loop,
            HostState state,
            GatekeeperService gatekeeperService,
            MembershipService membership,
            RouteTableService routes,
            LeavingWitnesses witnesses,
            TeamAllowanceService allowances) {
        this.loop = loop;
        this.state = state;
        this.gatekeeperService = gatekeeperService;
        this.membership = membership;
        this.routes = routes;
        this.witnesses = witnesses;
        this.allowances = allowances;
    }

    @Override
    public void handleRequest(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
        loop.execute(() -> {
            if (!handle(origin, message, reply)) {
                LOG.warn("request of type {} is not handled", message.getClass().getSimpleName());
            }
        });
    }

    /**
     * Handles a request. Called on the decision loop.
     *
     * @param origin connection and correlation, which identify the request on this host
     * @param message the request
     * @param reply sends the answer
     * @return false if this handler does not handle messages of this type
     */
    boolean handle(PeerServer.RequestOrigin origin, PeerMessage message, PeerServer.Reply reply) {
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
        } else if (message instanceof ControlMessages.LeavingNotice notice) {
            witnesses.answer(notice, reply);
        } else if (message instanceof ControlMessages.LeavingQuery query) {
            witnesses.answer(query, reply);
        } else if (message instanceof AllowanceMessages.TokensRequest request) {
            reply.send(allowances.answer(request));
        } else if (message instanceof AllowanceMessages.ClaimRequest request) {
            reply.send(allowances.answer(request));
        } else if (message instanceof ControlMessages.ConnectionCheck) {
            reply.send(new ControlMessages.Acknowledge(true));
        } else {
            return false;
        }
        return true;
    }

    private void dispatch(PeerServer.RequestOrigin origin, DispatchMessage message, PeerServer.Reply reply) {
        long dispatchNumber = gatekeeperService.dispatch(message, answer -> {
            dispatches.remove(origin);
            reply.send(answer);
        });
        if (gatekeeperService.isPending(dispatchNumber)) {
            dispatches.put(origin, dispatchNumber);
        }
    }

    private void cancel(PeerServer.RequestOrigin origin) {
        Long dispatchNumber = dispatches.get(origin);
        if (dispatchNumber != null) {
            gatekeeperService.cancel(dispatchNumber);
        }
    }

    @Override
    public void connectionClosed(PeerConnection connection) {
        loop.execute(() -> {
            // The sender has stopped or is disconnected, so the answers are no longer needed.
            for (PeerServer.RequestOrigin origin : List.copyOf(dispatches.keySet())) {
                if (origin.connection() == connection) {
                    cancel(origin);
                }
            }
        });
    }
}
