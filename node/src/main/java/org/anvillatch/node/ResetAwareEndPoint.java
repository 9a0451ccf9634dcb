package org.anvillatch.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A socket end point that reports a connection reset as an error and skips reads that would find no data. Jetty reports
 * a reset as the regular end of the stream, so a response without a length that is truncated by a reset would seem
 * complete.
 *
 * <p>Invariants: a read reports the end of the stream only if the other side has closed its output and no write has failed
 * before; after a read that did not fill its buffer, the socket is not read again until the selector has found it
 * readable. Readiness is level-triggered, so a read that is skipped although data has arrived costs one more selection
 * and loses nothing. Thread safe.
 */
public class ResetAwareEndPoint extends SocketChannelEndPoint {
    private volatile boolean socketEmpty;

    /** Held during a write, so that a read which follows the end of a write also finds its failure. */
    private final Object writeLock = new Object();

    /** Failure of a write, or null; guarded by {@link #writeLock}. */
    private IOException writeFailure;

    /**
     * Creates the end point of an open socket.
     *
     * @param channel the socket
     * @param selector selector of the socket
     * @param key registration with the selector
     * @param scheduler runs the timeouts
     */
    public ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public Runnable onSelected() {
        socketEmpty = false;
        return super.onSelected();
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        synchronized (writeLock) {
            try {
                return super.flush(buffers);
            } catch (IOException failure) {
                writeFailure = failure;
                throw failure;
            }
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return reportEnd();
        }
        if (socketEmpty) {
            return 0;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int remaining = buffer.remaining();
            int filled = getChannel().read(buffer);
            socketEmpty = filled >= 0 && filled < remaining;
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
                return reportEnd();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    /**
     * Returns -1 for the end of the stream, or reports the failed write: the operating system reports a reset only once, and
     * a read after a write that got it finds what looks like an orderly close.
     */
    private int reportEnd() throws IOException {
        synchronized (writeLock) {
            if (writeFailure != null) {
                throw new IOException(
                        "the connection failed during a write: " + writeFailure.getMessage(), writeFailure);
            }
        }
        return -1;
    }
}
