package org.anvillatch.node.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;

import org.anvillatch.node.NonBlockingReadCallback;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.memory.Reservation;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A TCP connection to another host, run by Jetty's selectors. It reads frames and passes them to its listener, and it
 * writes frames in the order in which they are sent.
 *
 * <p>Invariants: the listener gets frames in the order of their arrival; on the first invalid frame the connection
 * closes and the listener gets no more frames; the listener's {@code closed} is called exactly once. Thread safe.
 */
public final class PeerConnection extends AbstractConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
    private static final int INITIAL_BUFFER_BYTES = 16 * 1024;

    /** Maximum bytes of frames that wait to be written; twice the largest frame. */
    private static final int MAX_QUEUED_BYTES = 2 * FrameCodec.MAX_FRAME_BYTES;

    /** Maximum bytes of several frames in one write, for which the JDK needs a direct buffer of the same size. */
    private static final int MAX_WRITE_BYTES = 256 * 1024;

    /** Receives the events of a connection. */
    public interface Listener {
        /**
         * Called when the connection is ready for frames.
         *
         * @param connection the connection
         */
        default void opened(PeerConnection connection) {}

        /**
         * Called for each received frame.
         *
         * @param connection the connection
         * @param frame the frame
         */
        void received(PeerConnection connection, Frame frame);

        /**
         * Called when a request with a large body was refused for lack of memory.
         *
         * @param connection the connection
         * @param frame the request, without its body
         */
        default void refused(PeerConnection connection, Frame frame) {}

        /**
         * Called when the other host has begun to send a large answer.
         *
         * @param connection the connection
         * @param correlation number of the request
         */
        default void answerStarted(PeerConnection connection, long correlation) {}

        /**
         * Called when the other host sent bytes that are not a frame; the connection then closes.
         *
         * @param connection the connection
         * @param cause the fault and its position
         */
        void malformed(PeerConnection connection, FrameException cause);

        /**
         * Called when the connection has closed.
         *
         * @param connection the connection
         */
        void closed(PeerConnection connection);
    }

    private final Listener listener;
    private final Writer writer = new Writer();
    private final MemoryBudget budget;
    private final PeerTransfers transfers;

    /** Memory of the input buffer beyond its initial size. */
    private final Reservation inputReservation;

    private final Callback readCallback = new NonBlockingReadCallback(this::onFillable, this::onFillInterestedFailed);
    private ByteBuffer input = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    /**
     * Creates a connection on an open socket.
     *
     * @param endPoint the socket
     * @param executor runs the reads
     * @param budget account of the frames
     * @param listener receives the events
     */
    public PeerConnection(EndPoint endPoint, Executor executor, MemoryBudget budget, Listener listener) {
        super(endPoint, executor);
        this.listener = listener;
        this.budget = budget;
        this.transfers = new PeerTransfers(budget, new TransferCarrier());
        this.inputReservation = new Reservation(budget, 0);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        listener.opened(this);
        getEndPoint().fillInterested(readCallback);
    }

    @Override
    public void onFillable() {
        try {
            if (readAvailable()) {
                getEndPoint().fillInterested(readCallback);
            } else {
                close();
            }
        } catch (FrameException cause) {
            listener.malformed(this, cause);
            close();
        } catch (RuntimeException | Error failure) {
            // Without a further read the connection would never be read again.
            close();
            throw failure;
        } catch (IOException failure) {
            LOG.debug("read from {} failed", getEndPoint().getRemoteSocketAddress(), failure);
            close();
        }
    }

    private boolean readAvailable() throws IOException, FrameException {
        while (true) {
            if (!input.hasRemaining()) {
                growInput();
            }
            // Jetty's fill appends to a buffer in flush mode, where the content lies between position and limit.
            input.flip();
            int filled = getEndPoint().fill(input);
            input.position(input.limit());
            input.limit(input.capacity());
            if (filled <= 0) {
                return filled == 0;
            }
            deliverFrames();
        }
    }

    private void growInput() throws IOException {
        // The first buffer is not accounted for: there are fewer connections of hosts than such buffers in the margin.
        if (!inputReservation.tryGrow(input.capacity() * 2L, MemoryBudget.Holder.LARGE)) {
            LOG.warn(
                    "connection from {} closed: no memory for a frame reservedBytes={}",
                    getEndPoint().getRemoteSocketAddress(),
                    budget.reservedBytes());
            throw new IOException("no memory for a frame");
        }
        ByteBuffer larger = ByteBuffer.allocate(input.capacity() * 2);
        larger.put(input.flip());
        input = larger;
    }

    private void deliverFrames() throws FrameException {
        input.flip();
        Optional<Frame> frame = FrameCodec.decode(input);
        while (frame.isPresent()) {
            if (!transfers.receive(frame.get())) {
                listener.received(this, frame.get());
            }
            frame = FrameCodec.decode(input);
        }
        input.compact();
        if (input.position() == 0 && input.capacity() > INITIAL_BUFFER_BYTES) {
            input = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
            inputReservation.reduceTo(0);
        }
    }

    /**
     * Queues a frame for writing.
     *
     * @param frame the frame
     * @return size of the encoded frame in bytes
     * @throws FrameException if the message is too large or cannot be encoded
     */
    public int send(Frame frame) throws FrameException {
        CallBody largeBody = PeerTransfers.largeBodyOf(frame.message());
        if (largeBody != null) {
            Frame start = new Frame(frame.correlation(), frame.answer(), transfers.open(frame, largeBody));
            return largeBody.length() + sendWhole(start);
        }
        return sendWhole(frame);
    }

    private int sendWhole(Frame frame) throws FrameException {
        ByteBuffer bytes = FrameCodec.encode(frame);
        int size = bytes.remaining();
        if (writer.add(bytes)) {
            writer.iterate();
        } else {
            LOG.warn(
                    "connection to {} closed: more than {} bytes wait to be written",
                    getEndPoint().getRemoteSocketAddress(),
                    MAX_QUEUED_BYTES);
            close();
        }
        return size;
    }

    /**
     * Ends the transfer of a request that was not sent whole.
     *
     * @param correlation number of the request
     * @return false if the request was sent whole, or was small
     */
    public boolean cancelTransfer(long correlation) {
        return transfers.cancelRequest(correlation);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        writer.close();
        transfers.close();
        inputReservation.close();
        listener.closed(this);
    }

    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        return true;
    }

    private final class TransferCarrier implements PeerTransfers.Carrier {
        @Override
        public void sendControl(Frame frame) {
            try {
                sendWhole(frame);
            } catch (FrameException impossible) {
                throw new IllegalStateException("control message of a transfer cannot be encoded", impossible);
            }
        }

        @Override
        public void partReady() {
            writer.iterate();
        }

        @Override
        public void deliver(Frame frame) {
            listener.received(PeerConnection.this, frame);
        }

        @Override
        public void refuse(Frame messageWithoutBody) {
            listener.refused(PeerConnection.this, messageWithoutBody);
        }

        @Override
        public void answerStarted(long correlation) {
            listener.answerStarted(PeerConnection.this, correlation);
        }
    }

    /** Writes queued frames first, and one part of a transfer at a time between them. */
    private final class Writer extends IteratingCallback {
        private final Queue<ByteBuffer> queue = new ArrayDeque<>();
        private int queuedBytes;

        /** Adds a frame; returns false if too many bytes are queued, since the other host does not read. */
        boolean add(ByteBuffer buffer) {
            synchronized (queue) {
                if (queuedBytes > MAX_QUEUED_BYTES) {
                    return false;
                }
                queuedBytes += buffer.remaining();
                queue.add(buffer);
            }
            return true;
        }

        @Override
        protected Action process() {
            List<ByteBuffer> buffers = new ArrayList<>();
            synchronized (queue) {
                int bytes = 0;
                while (!queue.isEmpty() && bytes < MAX_WRITE_BYTES) {
                    bytes += queue.peek().remaining();
                    buffers.add(queue.remove());
                }
                queuedBytes -= bytes;
            }
            ByteBuffer[] part = transfers.nextPart();
            if (part != null) {
                buffers.addAll(List.of(part));
            }
            if (buffers.isEmpty()) {
                return Action.IDLE;
            }
            getEndPoint().write(this, buffers.toArray(ByteBuffer[]::new));
            return Action.SCHEDULED;
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            LOG.debug("write to another host failed", cause);
            PeerConnection.this.close();
        }
    }
}
