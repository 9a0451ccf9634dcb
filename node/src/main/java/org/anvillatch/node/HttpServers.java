package org.anvillatch.node;

import java.io.IOException;

import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts and stops HTTP servers; listening sockets are opened first, so that a wrong address is named. Stateless and thread
 * safe.
 */
public final class HttpServers {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServers.class);

    private HttpServers() {}

    /**
     * Opens all listeners of a server and starts it.
     *
     * @param server the server; each of its connectors is named after the setting that gave its address
     * @param prefix what stands before the name of a setting in messages
     * @throws StartException if it cannot start; the message names the setting at fault
     */
    public static void start(Server server, String prefix) throws StartException {
        for (Connector connector : server.getConnectors()) {
            open((ServerConnector) connector, prefix + connector.getName());
        }
        try {
            server.start();
        } catch (Exception failure) {
            throw new StartException("server: " + failure.getMessage(), failure);
        }
    }

    /**
     * Stops a server.
     *
     * @param server the server
     */
    public static void stop(Server server) {
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.warn("server did not stop cleanly", failure);
        }
    }

    private static void open(ServerConnector listener, String setting) throws StartException {
        try {
            listener.open();
        } catch (IOException failure) {
            String address = listener.getHost() + ":" + listener.getPort();
            throw new StartException(setting + " " + address + ": cannot listen: " + rootMessage(failure), failure);
        }
    }

    private static String rootMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }
}
