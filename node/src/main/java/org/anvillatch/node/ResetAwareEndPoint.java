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
 * A socket on which a reset is an error, and which is read only while something can be there. Jetty reports a reset as the
 * orderly end of the stream, so an answer without a length that was cut by a reset would look complete.
 *
 * <p>Invariant: after a read that left room in its buffer, the socket is not read again before the selector has found it
 * readable. Readiness is level-triggered, so a read that is skipped wrongly costs one more selection and loses nothing.
 * Thread safe.
 */
public class ResetAwareEndPoint extends SocketChannelEndPoint {
    private volatile boolean drained;

    /**
     * Creates the end point of an open socket.
     *
     * @param channel the socket
     * @param selector selector that watches it
     * @param key registration with the selector
     * @param scheduler runs timeouts
     */
    public ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public Runnable onSelected() {
        drained = false;
        return super.onSelected();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        if (drained) {
            return 0;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int room = buffer.remaining();
            int filled = getChannel().read(buffer);
            drained = filled >= 0 && filled < room;
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
