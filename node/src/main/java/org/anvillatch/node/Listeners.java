package org.anvillatch.node;

import java.io.IOException;

import org.eclipse.jetty.server.ServerConnector;

/** Opens listening sockets before anything else starts, so that a wrong address is named. Stateless and thread safe. */
public final class Listeners {
    private Listeners() {}

    /**
     * Opens a listener.
     *
     * @param listener the listener, with its address
     * @param setting name of the setting that gave the address
     * @throws StartException if the address cannot be used; the message names the setting
     */
    public static void open(ServerConnector listener, String setting) throws StartException {
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
