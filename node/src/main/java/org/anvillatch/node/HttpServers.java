package org.anvillatch.node;

import java.io.IOException;

import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts and stops Jetty servers. The listening sockets are opened before the server starts, so that the message of a
 * failure names the address that cannot be opened. Stateless and thread safe.
 */
public final class HttpServers {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServers.class);

    private HttpServers() {}

    /**
     * Opens all connectors of a server and starts it.
     *
     * @param server the server; each connector has the name of the setting that holds its address
     * @param prefix prefix of setting names in messages
     * @throws StartException if the server cannot start; the message names the setting if its address cannot be opened
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

    private static void open(ServerConnector connector, String setting) throws StartException {
        try {
            connector.open();
        } catch (IOException failure) {
            String address = connector.getHost() + ":" + connector.getPort();
            throw new StartException(
                    setting + " " + address + ": cannot listen: " + rootCauseMessage(failure), failure);
        }
    }

    private static String rootCauseMessage(Throwable failure) {
        Throwable rootCause = failure;
        while (rootCause.getCause() != null) {
            rootCause = rootCause.getCause();
        }
        return rootCause.getMessage();
    }
}
