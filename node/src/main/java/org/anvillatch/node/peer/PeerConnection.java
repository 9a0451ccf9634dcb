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
 * A TCP connection to another host, run by Jetty's selectors. It reads frames and passes them to its listener, and it
 * writes frames in the order in which they are sent.
 *
 * <p>Invariants: the listener gets frames in the order of their arrival; on the first invalid frame the connection
 * closes and the listener gets no more frames; the listener's {@code closed} is called exactly once. Thread safe.
 */
public final class PeerConnection extends AbstractConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
    private static final int INITIAL_BUFFER_BYTES = 16 * 1024;

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
    private final Callback readCallback = new NonBlockingReadCallback(this::onFillable, this::onFillInterestedFailed);
    private ByteBuffer input = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    /**
     * Creates a connection on an open socket.
     *
     * @param endPoint the socket
     * @param executor runs the reads
     * @param listener receives the events
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
        } catch (FrameException cause) {
            listener.malformed(this, cause);
            close();
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

    private void growInput() {
        ByteBuffer larger = ByteBuffer.allocate(input.capacity() * 2);
        larger.put(input.flip());
        input = larger;
    }

    private void deliverFrames() throws FrameException {
        input.flip();
        Optional<Frame> frame = FrameCodec.decode(input);
        while (frame.isPresent()) {
            listener.received(this, frame.get());
            frame = FrameCodec.decode(input);
        }
        input.compact();
        if (input.position() == 0 && input.capacity() > INITIAL_BUFFER_BYTES) {
            input = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
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
            LOG.debug("write to another host failed", cause);
            PeerConnection.this.close();
        }
    }
}
