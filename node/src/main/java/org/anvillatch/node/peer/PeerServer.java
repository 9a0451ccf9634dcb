package org.anvillatch.node.peer;

import java.util.concurrent.Executor;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections of other hosts and hands their requests to a handler. Thread safe.
 */
public final class PeerServer extends AbstractConnectionFactory implements PeerConnection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

    /** Sends the answer of one request. */
    public interface Reply {
        /**
         * Sends the answer; only the first call has an effect.
         *
         * @param message the answer
         */
        void send(PeerMessage message);
    }

    /** Receiver of requests. */
    public interface Handler {
        /**
         * A request has arrived.
         *
         * @param origin connection and correlation, the identity of the request on this host
         * @param message the request
         * @param reply sends the answer
         */
        void request(RequestOrigin origin, PeerMessage message, Reply reply);

        /**
         * A connection with possibly unanswered requests has closed.
         *
         * @param connection the connection
         */
        void connectionClosed(PeerConnection connection);
    }

    /**
     * Identity of a request on the host that received it. Immutable and thread safe.
     *
     * @param connection the connection
     * @param correlation number of the request on the connection
     */
    public record RequestOrigin(PeerConnection connection, long correlation) {
        /** Written out, because the method that records generate is slow until it has been called often. */
        @Override
        public boolean equals(Object other) {
            return other instanceof RequestOrigin that
                    && connection == that.connection
                    && correlation == that.correlation;
        }

        @Override
        public int hashCode() {
            return 31 * System.identityHashCode(connection) + Long.hashCode(correlation);
        }
    }

    private final Executor executor;
    private final Handler handler;
    private final Counter malformed;
    private final Counter bytesSent;

    /**
     * Creates the factory of server side connections.
     *
     * @param executor runs reads
     * @param handler receives requests
     * @param metrics registry for the count of malformed frames
     */
    public PeerServer(Executor executor, Handler handler, MetricRegistry metrics) {
        super("anvillatch/1");
        this.executor = executor;
        this.handler = handler;
        this.malformed = metrics.counter("peer.malformed");
        this.bytesSent = metrics.counter("peer.bytes_sent");
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(new PeerConnection(endPoint, executor, this), connector, endPoint);
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        if (frame.answer()) {
            LOG.debug("answer on a server connection ignored");
            return;
        }
        RequestOrigin origin = new RequestOrigin(connection, frame.correlation());
        handler.request(origin, frame.message(), answer -> reply(origin, answer));
    }

    private void reply(RequestOrigin origin, PeerMessage answer) {
        try {
            bytesSent.inc(origin.connection().send(new Frame(origin.correlation(), true, answer)));
        } catch (FrameException tooLarge) {
            LOG.warn("answer not sent, connection closed: {}", tooLarge.getMessage());
            origin.connection().close();
        }
    }

    @Override
    public void malformed(PeerConnection connection, FrameException problem) {
        malformed.inc();
        LOG.warn(
                "connection from {} closed: {}",
                connection.getEndPoint().getRemoteSocketAddress(),
                problem.getMessage());
    }

    @Override
    public void closed(PeerConnection connection) {
        handler.connectionClosed(connection);
    }
}
