package org.anvillatch.node.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;

import org.anvillatch.node.NonBlockingReadCallback;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One TCP connection to another host, on Jetty's selectors. It reads frames, hands them to its listener, and writes
 * frames in order of submission.
 *
 * <p>Invariants: frames are handed over in the order received; after the first invalid byte the connection closes and
 * nothing more is handed over; the listener's {@code closed} is called exactly once. Thread safe.
 */
public final class PeerConnection extends AbstractConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
    private static final int FIRST_BUFFER_BYTES = 16 * 1024;

    /** Receiver of a connection's events. */
    public interface Listener {
        /**
         * The connection is ready for frames.
         *
         * @param connection the connection
         */
        default void opened(PeerConnection connection) {}

        /**
         * A frame has arrived.
         *
         * @param connection the connection
         * @param frame the frame
         */
        void received(PeerConnection connection, Frame frame);

        /**
         * The other side sent bytes that are not a frame; the connection closes.
         *
         * @param connection the connection
         * @param problem what is wrong and where
         */
        void malformed(PeerConnection connection, FrameException problem);

        /**
         * The connection has closed.
         *
         * @param connection the connection
         */
        void closed(PeerConnection connection);
    }

    private final Listener listener;
    private final Writer writer = new Writer();
    private final Callback readCallback = new NonBlockingReadCallback(this::onFillable, this::onFillInterestedFailed);
    private ByteBuffer input = ByteBuffer.allocate(FIRST_BUFFER_BYTES);

    /**
     * Creates a connection on an open socket.
     *
     * @param endPoint the socket
     * @param executor runs reads
     * @param listener receives events
     */
    public PeerConnection(EndPoint endPoint, Executor executor, Listener listener) {
        super(endPoint, executor);
        this.listener = listener;
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
        } catch (FrameException problem) {
            listener.malformed(this, problem);
            close();
        } catch (IOException failure) {
            LOG.debug("read from {} failed", getEndPoint().getRemoteSocketAddress(), failure);
            close();
        }
    }

    private boolean readAvailable() throws IOException, FrameException {
        while (true) {
            if (!input.hasRemaining()) {
                grow();
            }
            // Jetty's fill appends to a buffer in flush mode: position to limit is the content.
            input.flip();
            int filled = getEndPoint().fill(input);
            input.position(input.limit());
            input.limit(input.capacity());
            if (filled <= 0) {
                return filled == 0;
            }
            handOver();
        }
    }

    private void grow() {
        ByteBuffer larger = ByteBuffer.allocate(input.capacity() * 2);
        larger.put(input.flip());
        input = larger;
    }

    private void handOver() throws FrameException {
        input.flip();
        Optional<Frame> frame = FrameCodec.decode(input);
        while (frame.isPresent()) {
            listener.received(this, frame.get());
            frame = FrameCodec.decode(input);
        }
        input.compact();
        if (input.position() == 0 && input.capacity() > FIRST_BUFFER_BYTES) {
            input = ByteBuffer.allocate(FIRST_BUFFER_BYTES);
        }
    }

    /**
     * Queues a frame for writing.
     *
     * @param frame the frame
     * @return size of the frame in bytes
     * @throws FrameException if the message is too large
     */
    public int send(Frame frame) throws FrameException {
        ByteBuffer bytes = FrameCodec.encode(frame);
        int size = bytes.remaining();
        writer.add(bytes);
        writer.iterate();
        return size;
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        writer.close();
        listener.closed(this);
    }

    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        return true;
    }

    private final class Writer extends IteratingCallback {
        private final Queue<ByteBuffer> queue = new ArrayDeque<>();

        void add(ByteBuffer buffer) {
            synchronized (queue) {
                queue.add(buffer);
            }
        }

        @Override
        protected Action process() {
            ByteBuffer[] buffers;
            synchronized (queue) {
                buffers = queue.toArray(ByteBuffer[]::new);
                queue.clear();
            }
            if (buffers.length == 0) {
                return Action.IDLE;
            }
            getEndPoint().write(this, buffers);
            return Action.SCHEDULED;
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            LOG.debug("write failed", cause);
            PeerConnection.this.close();
        }
    }
}
