package org.anvillatch.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections with TCP keepalive, so that a connection whose other side no longer answers is detected within
 * seconds. A reset of such a connection is reported as an error, see {@link ResetAwareEndPoint}. Thread safe.
 */
public class KeepAliveConnector extends ClientConnector {
    /** Idle time before the first probe and time between probes, in seconds: the minimum that the kernel accepts. */
    private static final int PROBE_PERIOD_SECONDS = 1;

    /** Number of unanswered probes after which a connection is lost: about 3 s after the last data. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    /**
     * Opens a connection.
     *
     * @param address IP address and port, separated by a colon
     * @param connectionFactory creates the connection on an open socket
     * @param failureListener receives the failure if the socket cannot be opened, on any thread
     */
    public void connect(
            String address, Function<EndPoint, Connection> connectionFactory, Consumer<Throwable> failureListener) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress socketAddress;
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            socketAddress = new InetSocketAddress(address.substring(0, colon), port);
        } catch (RuntimeException malformed) {
            failureListener.accept(new IOException("address \"" + address + "\" is not HOST:PORT", malformed));
            return;
        }
        Map<String, Object> context = new HashMap<>();
        context.put(ClientConnectionFactory.CONTEXT_KEY, (ClientConnectionFactory)
                (endPoint, parameters) -> connectionFactory.apply(endPoint));
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(CONNECTION_PROMISE_CONTEXT_KEY, new Promise<Connection>() {
            @Override
            public void failed(Throwable failure) {
                failureListener.accept(failure);
            }
        });
        connect(socketAddress, context);
    }

    /**
     * Returns a context that does nothing when it is started: no connection uses TLS, and a real start takes a sixth of
     * the process's start-up time.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new SslContextFactory.Client() {
            @Override
            protected void doStart() {}

            @Override
            protected void doStop() {}
        };
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        ResetAwareEndPoint endPoint = new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(getIdleTimeout().toMillis());
        return endPoint;
    }

    @Override
    protected void configure(SelectableChannel channel) throws IOException {
        super.configure(channel);
        if (channel instanceof SocketChannel socket
                && socket.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
            socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_PERIOD_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_PERIOD_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAX_UNANSWERED_PROBES);
        }
    }
}
