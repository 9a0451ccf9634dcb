package org.anvillatch.node.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.node.KeepAliveConnector;
import org.anvillatch.node.Service;
import org.anvillatch.node.StartException;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.memory.MemoryBudget;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to other hosts, over one cached connection to each address.
 *
 * <p>Invariants: the listener of each request is called exactly once; it receives {@link PeerFailure#NOT_SENT} only if
 * the last byte of the request was not written to a socket. Not thread safe: all methods are called on the decision loop.
 */
public final class PeerClient implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    /** Maximum wait for a connection: hosts are a few milliseconds apart and do no work before they accept one. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Time between two checks of the connections, in microseconds. */
    private static final long CHECK_PERIOD_MICROS = 100_000;

    /** Time without received data after which a connection with open requests is checked, in microseconds. */
    private static final long MAX_RECEIVE_GAP_MICROS = 150_000;

    /** Maximum wait for an answer to the check, in microseconds: three retransmissions at TCP's minimum timeout. */
    private static final long CHECK_TIMEOUT_MICROS = 600_000;

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Reason why a request has no answer. */
    public enum PeerFailure {
        /** The request was not sent. */
        NOT_SENT,
        /** The request was sent, or may have been sent, and no answer arrived. */
        NO_ANSWER
    }

    /** Receives the answer to one request. */
    public interface AnswerListener {
        /**
         * Called when the answer has arrived.
         *
         * @param message the answer
         */
        void answered(PeerMessage message);

        /**
         * Called when no answer can arrive any more.
         *
         * @param failure the reason
         */
        void failed(PeerFailure failure);
    }

    /** A request that is waiting for its answer. */
    public static final class PendingRequest {
        private final Link link;
        private final long correlation;
        private final AnswerListener listener;
        private final CallBody body;
        private boolean sent;
        private Future<?> timeout;

        private PendingRequest(Link link, long correlation, PeerMessage message, AnswerListener listener) {
            this.body = PeerTransfers.largeBodyOf(message);
            this.link = link;
            this.correlation = correlation;
            this.listener = listener;
        }
    }

    /** The connection to an address, open or being opened, and its unanswered requests. */
    private static final class Link {
        private final String address;
        private final Map<Long, PendingRequest> pending = new HashMap<>();
        private final Map<Long, PeerMessage> unsent = new LinkedHashMap<>();
        private PeerConnection connection;
        private long lastReceivedMicros;
        /** Time of the check that is not answered yet, 0 if there is none. */
        private long checkSentMicros;

        private Link(String address) {
            this.address = address;
        }
    }

    private final DecisionLoop loop;
    private final KeepAliveConnector connector = new KeepAliveConnector();
    private final Map<String, Link> links = new HashMap<>();
    private final MemoryBudget budget;
    private final Counter bytesSent;
    private long nextCorrelation = 1;
    private boolean checkScheduled;

    /**
     * Creates the client.
     *
     * @param loop runs the callbacks
     * @param executor runs the reads
     * @param scheduler runs the timeouts
     * @param sourceHost IP address of the peer address, from which connections are opened
     * @param budget account of the frames
     * @param metrics registry for the counter of sent bytes
     */
    public PeerClient(
            DecisionLoop loop,
            Executor executor,
            Scheduler scheduler,
            String sourceHost,
            MemoryBudget budget,
            MetricRegistry metrics) {
        this.budget = budget;
        this.bytesSent = metrics.counter("peer.bytes_sent");
        this.loop = loop;
        connector.setExecutor(executor);
        connector.setScheduler(scheduler);
        connector.setSelectors(1);
        connector.setBindAddress(new InetSocketAddress(sourceHost, 0));
        connector.setConnectTimeout(CONNECT_TIMEOUT);
        connector.setIdleTimeout(IDLE_TIMEOUT);
    }

    @Override
    public void start() throws StartException {
        try {
            connector.start();
        } catch (Exception failure) {
            throw new StartException("peer client: " + failure.getMessage(), failure);
        }
    }

    @Override
    public void stop() {
        try {
            connector.stop();
        } catch (Exception failure) {
            LOG.warn("peer client did not stop cleanly", failure);
        }
    }

    /**
     * Sends a request.
     *
     * @param address IP address and port
     * @param message the request
     * @param timeoutMicros maximum wait for the answer
     * @param listener receives the answer, on the loop
     * @return handle for {@link #cancel}
     */
    public PendingRequest send(String address, PeerMessage message, long timeoutMicros, AnswerListener listener) {
        Link link = links.computeIfAbsent(address, this::connect);
        PendingRequest pending = new PendingRequest(link, nextCorrelation++, message, listener);
        link.pending.put(pending.correlation, pending);
        scheduleCheck();
        if (link.connection == null) {
            link.unsent.put(pending.correlation, message);
        } else {
            write(pending, message);
        }
        pending.timeout = loop.schedule(timeoutMicros, () -> fail(pending, failureReason(pending)));
        return pending;
    }

    /**
     * Notifies the other host that the answer is no longer needed. The listener is still called. Has no effect on a
     * request that is not sent yet or already has its result.
     *
     * @param pending handle of the request
     */
    public void cancel(PendingRequest pending) {
        if (!pending.sent || !pending.link.pending.containsKey(pending.correlation)) {
            return;
        }
        if (pending.link.connection.cancelTransfer(pending.correlation)) {
            fail(pending, PeerFailure.NOT_SENT);
            return;
        }
        try {
            Frame frame = new Frame(nextCorrelation++, false, new ControlMessages.Cancel(pending.correlation));
            pending.link.connection.send(frame);
        } catch (FrameException failure) {
            LOG.debug("cancellation of a request was not sent", failure);
        }
    }

    /** Removes the timeout from the loop's queue: each entry left there makes every later scheduling slower. */
    private static void cancelTimeout(PendingRequest pending) {
        if (pending.timeout != null) {
            pending.timeout.cancel(false);
        }
    }

    private static PeerFailure failureReason(PendingRequest pending) {
        return pending.sent ? PeerFailure.NO_ANSWER : PeerFailure.NOT_SENT;
    }

    private void write(PendingRequest pending, PeerMessage message) {
        try {
            Frame frame = new Frame(pending.correlation, false, message);
            pending.sent = true;
            bytesSent.inc(pending.link.connection.send(frame));
        } catch (FrameException unencodable) {
            LOG.warn("request to {} not sent: {}", pending.link.address, unencodable.getMessage());
            fail(pending, PeerFailure.NOT_SENT);
        }
    }

    private void fail(PendingRequest pending, PeerFailure failure) {
        pending.link.unsent.remove(pending.correlation);
        if (pending.link.pending.remove(pending.correlation) != null) {
            cancelTimeout(pending);
            // A request whose last byte was not sent is never delivered at the other host.
            boolean partlySent = pending.sent && pending.link.connection.cancelTransfer(pending.correlation);
            pending.listener.failed(partlySent ? PeerFailure.NOT_SENT : failure);
        }
    }

    private Link connect(String address) {
        Link link = new Link(address);
        connector.connect(
                address,
                endPoint -> new PeerConnection(endPoint, connector.getExecutor(), budget, new LinkListener(link)),
                failure -> {
                    LOG.debug("connect to {} failed", address, failure);
                    loop.execute(() -> dropLink(link));
                });
        return link;
    }

    private void onOpened(Link link, PeerConnection connection) {
        link.lastReceivedMicros = loop.nowMicros();
        link.connection = connection;
        // A request that cannot be encoded removes itself from the map while it is written.
        Map<Long, PeerMessage> unsent = new LinkedHashMap<>(link.unsent);
        link.unsent.clear();
        unsent.forEach((correlation, message) -> {
            PendingRequest pending = link.pending.get(correlation);
            if (pending != null) {
                write(pending, message);
            }
        });
    }

    /** Schedules the next check of the connections; checks are repeated while any request waits for its answer. */
    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.schedule(CHECK_PERIOD_MICROS, this::checkConnections);
        }
    }

    /** Detects connections that no longer carry data. TCP gives up on unacknowledged data only after minutes. */
    private void checkConnections() {
        checkScheduled = false;
        long now = loop.nowMicros();
        boolean anyPending = false;
        for (Link link : List.copyOf(links.values())) {
            anyPending |= !link.pending.isEmpty();
            boolean stalled = !link.pending.isEmpty() && now - link.lastReceivedMicros > MAX_RECEIVE_GAP_MICROS;
            if (link.connection == null || !stalled) {
                link.checkSentMicros = 0;
            } else if (link.checkSentMicros == 0) {
                link.checkSentMicros = now;
                sendCheck(link);
            } else if (now - link.checkSentMicros > CHECK_TIMEOUT_MICROS) {
                LOG.warn("connection to {} is silent with {} open requests", link.address, link.pending.size());
                link.connection.close();
                dropLink(link);
            }
        }
        if (anyPending) {
            scheduleCheck();
        }
    }

    private void sendCheck(Link link) {
        try {
            Frame frame = new Frame(nextCorrelation++, false, new ControlMessages.ConnectionCheck());
            bytesSent.inc(link.connection.send(frame));
        } catch (FrameException impossible) {
            throw new IllegalStateException("connection check cannot be encoded", impossible);
        }
    }

    private void dropLink(Link link) {
        links.remove(link.address, link);
        for (PendingRequest pending : List.copyOf(link.pending.values())) {
            fail(pending, failureReason(pending));
        }
    }

    private final class LinkListener implements PeerConnection.Listener {
        private final Link link;

        private LinkListener(Link link) {
            this.link = link;
        }

        @Override
        public void opened(PeerConnection connection) {
            loop.execute(() -> onOpened(link, connection));
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            loop.execute(() -> {
                link.lastReceivedMicros = loop.nowMicros();
                PendingRequest pending = frame.answer() ? link.pending.remove(frame.correlation()) : null;
                if (pending != null) {
                    cancelTimeout(pending);
                    pending.listener.answered(frame.message());
                } else if (frame.message() instanceof CallAnswer unexpected) {
                    unexpected.body().release();
                }
            });
        }

        @Override
        public void answerStarted(PeerConnection connection, long correlation) {
            loop.execute(() -> {
                PendingRequest pending = link.pending.get(correlation);
                if (pending != null && pending.body != null) {
                    // The request is not retried any more, and its body may occupy the memory that the answer needs.
                    pending.body.release();
                }
            });
        }

        @Override
        public void malformed(PeerConnection connection, FrameException cause) {
            LOG.warn("connection to {} closed: {}", link.address, cause.getMessage());
        }

        @Override
        public void closed(PeerConnection connection) {
            loop.execute(() -> dropLink(link));
        }
    }
}
