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
import org.anvillatch.node.loop.DecisionLoop;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to other hosts over one cached connection for each address.
 *
 * <p>Invariants: each request's callback is called exactly once; it says {@link PeerFailure#NOT_SENT} only if not one
 * byte of the request was given to a socket. State is owned by the decision loop: all methods are called on it.
 */
public final class PeerClient implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    /** Longest wait for a connection; hosts are a few milliseconds apart and accept without any work. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Time between two looks at the connections, in microseconds. */
    private static final long CHECK_PERIOD_MICROS = 100_000;

    /** Silence on a connection with open requests after which it is checked, in microseconds. */
    private static final long SILENCE_MICROS = 150_000;

    /** Longest wait for the sign of life, in microseconds: three retransmissions of the least timeout of TCP. */
    private static final long CHECK_TIMEOUT_MICROS = 600_000;

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Why there is no answer. */
    public enum PeerFailure {
        /** Nothing was sent. */
        NOT_SENT,
        /** The request was or may have been sent, and no answer came. */
        NO_ANSWER
    }

    /** Receiver of one answer. */
    public interface AnswerListener {
        /**
         * The answer has arrived.
         *
         * @param message the answer
         */
        void answered(PeerMessage message);

        /**
         * No answer will arrive.
         *
         * @param failure why
         */
        void failed(PeerFailure failure);
    }

    /** A request that waits for its answer. */
    public static final class Pending {
        private final Link link;
        private final long correlation;
        private final AnswerListener listener;
        private boolean sent;
        private Future<?> timeout;

        private Pending(Link link, long correlation, AnswerListener listener) {
            this.link = link;
            this.correlation = correlation;
            this.listener = listener;
        }
    }

    private static final class Link {
        private final String address;
        private final Map<Long, Pending> pending = new HashMap<>();
        private final Map<Long, PeerMessage> waiting = new LinkedHashMap<>();
        private PeerConnection connection;
        private long receivedMicros;
        private long checkedMicros;

        private Link(String address) {
            this.address = address;
        }
    }

    private final DecisionLoop loop;
    private final KeepAliveConnector connector = new KeepAliveConnector();
    private final Map<String, Link> links = new HashMap<>();
    private final Counter bytesSent;
    private long nextCorrelation = 1;
    private boolean checking;

    /**
     * Creates the client.
     *
     * @param loop runs callbacks
     * @param executor runs reads
     * @param scheduler runs timeouts
     * @param sourceHost IP number that connections come from, that of the peer address
     * @param metrics registry for the count of bytes
     */
    public PeerClient(
            DecisionLoop loop, Executor executor, Scheduler scheduler, String sourceHost, MetricRegistry metrics) {
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
     * @param address IP number and port
     * @param message the request
     * @param timeoutMicros time to wait for the answer
     * @param listener receives the answer, on the loop
     * @return handle that withdraws the request
     */
    public Pending send(String address, PeerMessage message, long timeoutMicros, AnswerListener listener) {
        Link link = links.computeIfAbsent(address, this::connect);
        Pending pending = new Pending(link, nextCorrelation++, listener);
        link.pending.put(pending.correlation, pending);
        checkLater();
        if (link.connection == null) {
            link.waiting.put(pending.correlation, message);
        } else {
            write(pending, message);
        }
        pending.timeout = loop.schedule(timeoutMicros, () -> fail(pending, failureOf(pending)));
        return pending;
    }

    /**
     * Tells the other host that the answer is no longer wanted. The callback is still called.
     *
     * @param pending handle of the request
     */
    public void cancel(Pending pending) {
        if (!pending.sent || !pending.link.pending.containsKey(pending.correlation)) {
            return;
        }
        try {
            Frame frame = new Frame(nextCorrelation++, false, new ControlMessages.Cancel(pending.correlation));
            pending.link.connection.send(frame);
        } catch (FrameException failure) {
            LOG.debug("cancel not sent", failure);
        }
    }

    /** A timeout that is left in the loop's queue costs every later task a longer search. */
    private static void stopTimeout(Pending pending) {
        if (pending.timeout != null) {
            pending.timeout.cancel(false);
        }
    }

    private static PeerFailure failureOf(Pending pending) {
        return pending.sent ? PeerFailure.NO_ANSWER : PeerFailure.NOT_SENT;
    }

    private void write(Pending pending, PeerMessage message) {
        try {
            Frame frame = new Frame(pending.correlation, false, message);
            pending.sent = true;
            bytesSent.inc(pending.link.connection.send(frame));
        } catch (FrameException tooLarge) {
            LOG.warn("request to {} not sent: {}", pending.link.address, tooLarge.getMessage());
            fail(pending, PeerFailure.NOT_SENT);
        }
    }

    private void fail(Pending pending, PeerFailure failure) {
        pending.link.waiting.remove(pending.correlation);
        if (pending.link.pending.remove(pending.correlation) != null) {
            stopTimeout(pending);
            pending.listener.failed(failure);
        }
    }

    private Link connect(String address) {
        Link link = new Link(address);
        connector.connect(
                address,
                endPoint -> new PeerConnection(endPoint, connector.getExecutor(), new LinkListener(link)),
                failure -> {
                    LOG.debug("connect to {} failed", address, failure);
                    loop.execute(() -> broken(link));
                });
        return link;
    }

    private void openedOnLoop(Link link, PeerConnection connection) {
        link.receivedMicros = loop.nowMicros();
        link.connection = connection;
        link.waiting.forEach((correlation, message) -> {
            Pending pending = link.pending.get(correlation);
            if (pending != null) {
                write(pending, message);
            }
        });
        link.waiting.clear();
    }

    /** Looks at the connections again as long as anything waits for an answer. */
    private void checkLater() {
        if (!checking) {
            checking = true;
            loop.schedule(CHECK_PERIOD_MICROS, this::checkSilent);
        }
    }

    /** Finds connections that no longer carry anything, which TCP itself reports only after minutes. */
    private void checkSilent() {
        checking = false;
        long now = loop.nowMicros();
        boolean waits = false;
        for (Link link : List.copyOf(links.values())) {
            waits |= !link.pending.isEmpty();
            boolean quiet = !link.pending.isEmpty() && now - link.receivedMicros > SILENCE_MICROS;
            if (link.connection == null || !quiet) {
                link.checkedMicros = 0;
            } else if (link.checkedMicros == 0) {
                link.checkedMicros = now;
                check(link);
            } else if (now - link.checkedMicros > CHECK_TIMEOUT_MICROS) {
                LOG.warn("connection to {} is silent with {} open requests", link.address, link.pending.size());
                link.connection.close();
                broken(link);
            }
        }
        if (waits) {
            checkLater();
        }
    }

    private void check(Link link) {
        try {
            Frame frame = new Frame(nextCorrelation++, false, new ControlMessages.ConnectionCheck());
            bytesSent.inc(link.connection.send(frame));
        } catch (FrameException impossible) {
            throw new IllegalStateException("a check is larger than a frame", impossible);
        }
    }

    private void broken(Link link) {
        links.remove(link.address, link);
        for (Pending pending : List.copyOf(link.pending.values())) {
            fail(pending, failureOf(pending));
        }
    }

    private final class LinkListener implements PeerConnection.Listener {
        private final Link link;

        private LinkListener(Link link) {
            this.link = link;
        }

        @Override
        public void opened(PeerConnection connection) {
            loop.execute(() -> openedOnLoop(link, connection));
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            loop.execute(() -> {
                link.receivedMicros = loop.nowMicros();
                Pending pending = frame.answer() ? link.pending.remove(frame.correlation()) : null;
                if (pending != null) {
                    stopTimeout(pending);
                    pending.listener.answered(frame.message());
                }
            });
        }

        @Override
        public void malformed(PeerConnection connection, FrameException problem) {
            LOG.warn("connection to {} closed: {}", link.address, problem.getMessage());
        }

        @Override
        public void closed(PeerConnection connection) {
            loop.execute(() -> broken(link));
        }
    }
}
