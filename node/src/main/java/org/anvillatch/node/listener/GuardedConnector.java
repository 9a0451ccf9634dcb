package org.anvillatch.node.listener;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** A listener whose connections are guarded. Thread safe. */
public class GuardedConnector extends ServerConnector {
    private final ListenerConnections connections;

    /**
     * Creates a listener.
     *
     * @param server the server
     * @param executor runs the tasks of the connections, null for the threads of the server
     * @param acceptors number of threads that accept connections, 0 if the selector does
     * @param factory creates the connections
     * @param connections its open connections
     */
    public GuardedConnector(
            Server server,
            Executor executor,
            int acceptors,
            ConnectionFactory factory,
            ListenerConnections connections) {
        super(server, executor, null, null, acceptors, 1, factory);
        this.connections = connections;
    }

    /**
     * Returns the open connections.
     *
     * @return the connections
     */
    protected final ListenerConnections connections() {
        return connections;
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        SocketChannelEndPoint endPoint = new GuardedEndPoint(channel, selector, key, getScheduler(), connections);
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
