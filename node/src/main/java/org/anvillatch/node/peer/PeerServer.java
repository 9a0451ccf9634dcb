package org.anvillatch.node.peer;

import java.util.concurrent.Executor;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.memory.Reservation;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from other hosts and passes their requests to a handler. Thread safe.
 */
public final class PeerServer extends AbstractConnectionFactory implements PeerConnection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

    /** Sends the answer to one request. */
    public interface Reply {
        /**
         * Sends the answer. Called once for each request: further answers would be sent too, and the other host would
         * ignore them.
         *
         * @param message the answer
         */
        void send(PeerMessage message);
    }

    /** Handles requests from other hosts. */
    public interface Handler {
        /**
         * Handles a request.
         *
         * @param origin connection and correlation, which identify the request on this host
         * @param message the request
         * @param reply sends the answer
         */
        void handleRequest(RequestOrigin origin, PeerMessage message, Reply reply);

        /**
         * Handles the end of a connection, which may have unanswered requests.
         *
         * @param connection the connection
         */
        void connectionClosed(PeerConnection connection);
    }

    /**
     * Identifies a request on the host that received it. Immutable and thread safe.
     *
     * @param connection the connection
     * @param correlation number of the request on the connection
     */
    public record RequestOrigin(PeerConnection connection, long correlation) {
        /** Replaces the generated method, which is slow until it has been called often. */
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
    private final MemoryBudget budget;
    private final Counter refusedForMemory;
    private final Counter malformed;
    private final Counter bytesSent;

    /**
     * Creates the connection factory.
     *
     * @param executor runs the reads
     * @param handler handles requests
     * @param budget account of the requests and answers
     * @param metrics registry for the counters of malformed frames, refused requests and sent bytes
     */
    public PeerServer(Executor executor, Handler handler, MemoryBudget budget, MetricRegistry metrics) {
        super("anvillatch/1");
        this.executor = executor;
        this.handler = handler;
        this.budget = budget;
        this.refusedForMemory = metrics.counter("peer.refused_for_memory");
        this.malformed = metrics.counter("peer.malformed");
        this.bytesSent = metrics.counter("peer.bytes_sent");
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(new PeerConnection(endPoint, executor, budget, this), connector, endPoint);
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        if (frame.answer()) {
            LOG.debug("ignoring an answer on a server connection");
            return;
        }
        RequestOrigin origin = new RequestOrigin(connection, frame.correlation());
        if (frame.message() instanceof DispatchMessage dispatch) {
            receiveDispatch(origin, dispatch);
        } else {
            handler.handleRequest(origin, frame.message(), answer -> reply(origin, answer));
        }
    }

    /** Accounts for a dispatch until it is answered; the memory of a large body is reserved already. */
    private void receiveDispatch(RequestOrigin origin, DispatchMessage dispatch) {
        CallBody body = dispatch.body();
        int fields = dispatch.head() == null ? 0 : dispatch.head().headers().size();
        long bytes = MemoryBudget.REQUEST_BYTES
                + (long) fields * MemoryBudget.FIELD_BYTES
                + (body.isLarge() ? 0 : body.length());
        if (!budget.tryReserve(bytes, MemoryBudget.Holder.SMALL)) {
            body.release();
            refuse(origin);
            return;
        }
        Reservation reservation = new Reservation(budget, bytes);
        handler.handleRequest(origin, dispatch, answer -> {
            reservation.close();
            body.release();
            reply(origin, answer);
        });
    }

    @Override
    public void refused(PeerConnection connection, Frame frame) {
        refuse(new RequestOrigin(connection, frame.correlation()));
    }

    private void refuse(RequestOrigin origin) {
        refusedForMemory.inc();
        LOG.info("dispatch refused for lack of memory reservedBytes={}", budget.reservedBytes());
        reply(origin, CallAnswer.refused(RefusalReason.OVERLOAD, "no memory", CallAnswer.LoadReport.NONE, 0, ""));
    }

    private void reply(RequestOrigin origin, PeerMessage answer) {
        try {
            bytesSent.inc(origin.connection().send(new Frame(origin.correlation(), true, answer)));
        } catch (FrameException unencodable) {
            LOG.warn("answer not sent, connection closed: {}", unencodable.getMessage());
            origin.connection().close();
        }
    }

    @Override
    public void malformed(PeerConnection connection, FrameException cause) {
        malformed.inc();
        LOG.warn(
                "connection from {} closed: {}", connection.getEndPoint().getRemoteSocketAddress(), cause.getMessage());
    }

    @Override
    public void closed(PeerConnection connection) {
        handler.connectionClosed(connection);
    }
}
