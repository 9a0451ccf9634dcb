package org.anvillatch.node;

import java.util.List;

import org.anvillatch.node.peer.PeerServer;
import org.anvillatch.node.settings.NodeSettings;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
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

    private final Server server;

    /** Handlers of the three HTTP ports. */
    record Handlers(Handler calls, Handler keys, Handler endpoint, Handler commands) {}

    NodeServer(
            NodeSettings settings, QueuedThreadPool threads, Scheduler scheduler, Handlers handlers, PeerServer peers) {
        server = new Server(threads, scheduler, null);
        addConnector(CALLERS, settings.callerAddress(), http());
        addConnector(ENDPOINT, settings.endpointAddress(), http());
        addConnector(OPERATORS, settings.operatorAddress(), http());
        addConnector(PEERS, settings.peerAddress(), peers);
        server.setHandler(new PortDispatcher(handlers));
    }

    private static ConnectionFactory http() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return new HttpConnectionFactory(configuration);
    }

    private void addConnector(String name, NodeSettings.ListenAddress address, ConnectionFactory factory) {
        ServerConnector connector = new ServerConnector(server, null, null, null, 1, 1, factory);
        connector.setName(name);
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
