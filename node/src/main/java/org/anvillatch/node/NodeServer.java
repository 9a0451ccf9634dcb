package org.anvillatch.node;

import java.util.List;

import org.anvillatch.node.listener.ConnectionGuard;
import org.anvillatch.node.listener.GuardedConnector;
import org.anvillatch.node.listener.GuardedHttpFactory;
import org.anvillatch.node.listener.ListenerConnections;
import org.anvillatch.node.peer.PeerServer;
import org.anvillatch.node.settings.NodeSettings;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Listens on the four ports of a node and passes each request to the handlers of its port. Thread safe.
 */
final class NodeServer implements Service {
    private static final String CALLERS = "caller-address";
    private static final String ENDPOINT = "endpoint-address";
    private static final String OPERATORS = "operator-address";
    private static final String PEERS = "peer-address";
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_CALLER_CONNECTIONS = 1_200;

    /** The endpoint opens a connection for each of its nested calls that run at a time. */
    private static final int MAX_ENDPOINT_CONNECTIONS = 600;

    private static final int MAX_OPERATOR_CONNECTIONS = 64;
    private static final int MAX_PEER_CONNECTIONS = 1_024;

    private final Server server;

    /** Handlers of the three HTTP ports. */
    record Handlers(Handler calls, Handler keys, Handler endpoint, Handler commands) {}

    NodeServer(
            NodeSettings settings,
            QueuedThreadPool threads,
            Scheduler scheduler,
            ConnectionGuard guard,
            Handlers handlers,
            PeerServer peers) {
        server = new Server(threads, scheduler, null);
        addConnector(guard.addListener(CALLERS, MAX_CALLER_CONNECTIONS), settings.callerAddress(), http());
        addConnector(guard.addListener(ENDPOINT, MAX_ENDPOINT_CONNECTIONS), settings.endpointAddress(), http());
        addConnector(guard.addListener(OPERATORS, MAX_OPERATOR_CONNECTIONS), settings.operatorAddress(), http());
        addConnector(guard.addListener(PEERS, MAX_PEER_CONNECTIONS), settings.peerAddress(), peers);
        server.setHandler(new PortDispatcher(handlers));
    }

    private static ConnectionFactory http() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return new GuardedHttpFactory(configuration);
    }

    private void addConnector(
            ListenerConnections connections, NodeSettings.ListenAddress address, ConnectionFactory factory) {
        ServerConnector connector = new GuardedConnector(server, null, 1, factory, connections);
        connector.setName(connections.name());
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
    }

    @Override
    public void start() throws StartException {
        HttpServers.start(server, "--");
    }

    @Override
    public void stop() {
        HttpServers.stop(server);
    }

    /** Passes a request to the handlers of the port on which it arrived. */
    private static final class PortDispatcher extends Handler.Abstract.NonBlocking {
        private final Handlers handlers;

        private PortDispatcher(Handlers handlers) {
            this.handlers = handlers;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String port = request.getConnectionMetaData().getConnector().getName();
            List<Handler> candidates =
                    switch (port) {
                        case CALLERS -> List.of(handlers.calls(), handlers.keys());
                        case ENDPOINT -> List.of(handlers.calls(), handlers.endpoint());
                        default -> List.of(handlers.commands());
                    };
            for (Handler handler : candidates) {
                if (handler.handle(request, response, callback)) {
                    return true;
                }
            }
            return false;
        }
    }
}
