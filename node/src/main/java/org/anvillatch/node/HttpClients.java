package org.anvillatch.node;

import java.util.concurrent.Executor;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportDynamic;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates, starts and stops HTTP clients that share the node's threads. Stateless and thread safe.
 */
public final class HttpClients {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClients.class);

    /** Maximum size of a response's head or of its trailers, in bytes; Jetty's client has no limit by default. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 32 * 1024;

    private HttpClients() {}

    /**
     * Creates a client without starting it.
     *
     * @param executor runs the callbacks
     * @param scheduler runs the timeouts
     * @param connectTimeoutMillis maximum wait for a connection, in milliseconds
     * @return the client, with one selector
     */
    public static HttpClient create(Executor executor, Scheduler scheduler, long connectTimeoutMillis) {
        return create(new KeepAliveConnector(), executor, scheduler, connectTimeoutMillis);
    }

    /**
     * Creates a client without starting it.
     *
     * @param connector opens the connections; the client starts and stops it
     * @param executor runs the callbacks
     * @param scheduler runs the timeouts
     * @param connectTimeoutMillis maximum wait for a connection, in milliseconds
     * @return the client, with one selector
     */
    public static HttpClient create(
            KeepAliveConnector connector, Executor executor, Scheduler scheduler, long connectTimeoutMillis) {
        connector.setSelectors(1);
        connector.setExecutor(executor);
        connector.setScheduler(scheduler);
        HttpClientTransportDynamic transport = new HttpClientTransportDynamic(connector);
        // Callbacks only pass work to the decision loop, so no other thread has to run the selector meanwhile.
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(executor);
        client.setScheduler(scheduler);
        client.setConnectTimeout(connectTimeoutMillis);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
        return client;
    }

    /**
     * Starts a client that does not decode the content of responses.
     *
     * @param client the client
     * @param name name of the client, for the message
     * @throws StartException if it cannot start
     */
    public static void start(HttpClient client, String name) throws StartException {
        try {
            client.start();
            client.getContentDecoderFactories().clear();
            client.getProtocolHandlers().remove(ContinueProtocolHandler.NAME);
            client.getProtocolHandlers().remove(ProcessingProtocolHandler.NAME);
            client.getProtocolHandlers().remove(EarlyHintsProtocolHandler.NAME);
            client.getProtocolHandlers().put(new InterimResponseHandler());
        } catch (Exception failure) {
            throw new StartException(name + ": " + failure.getMessage(), failure);
        }
    }

    /**
     * Stops a client.
     *
     * @param client the client
     * @param name name of the client, for the log
     */
    public static void stop(HttpClient client, String name) {
        try {
            client.stop();
        } catch (Exception failure) {
            LOG.warn("{} did not stop cleanly", name, failure);
        }
    }
}
