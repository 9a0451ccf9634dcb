package org.anvillatch.node;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections on which the kernel probes for life, so that one whose other side went silent is found in seconds, and
 * on which a reset is an error.
 * Thread safe.
 */
public final class ProbingConnector extends ClientConnector {
    /** Idle time before the first probe, and time between probes, in seconds: the least that the kernel takes. */
    private static final int PROBE_SECONDS = 1;

    /** Unanswered probes after which a connection is broken; together with the idle time about 3 s. */
    private static final int PROBES = 2;

    /** Everything here is plain text; starting a TLS context would cost a sixth of the process's start. */
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
            socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
        }
    }
}
