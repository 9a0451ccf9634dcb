package org.anvillatch.node.listener;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.anvillatch.node.ResetAwareEndPoint;
import org.anvillatch.node.memory.Reservation;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An accepted connection whose progress is measured and whose memory is accounted for. Thread safe.
 */
public class GuardedEndPoint extends ResetAwareEndPoint {
    private final ListenerConnections connections;
    private final Progress progress = new Progress();
    private final Reservation reservation;

    /**
     * Creates the end point of an open socket.
     *
     * @param channel the socket
     * @param selector selector of the socket
     * @param key registration with the selector
     * @param scheduler runs the timeouts
     * @param connections connections of the listener
     */
    public GuardedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            ListenerConnections connections) {
        super(channel, selector, key, scheduler);
        this.connections = connections;
        this.reservation = new Reservation(connections.budget(), 0);
    }

    Progress progress() {
        return progress;
    }

    Reservation reservation() {
        return reservation;
    }

    /**
     * Notes the length of the response that is being written, from which its minimum progress follows.
     *
     * @param length length in bytes
     */
    public void responseStarted(long length) {
        progress.responseStarted(length);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        connections.opened(this);
    }

    @Override
    public void onClose(Throwable cause) {
        connections.closed(this);
        reservation.close();
        super.onClose(cause);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        int filled = super.fill(buffer);
        if (filled > 0) {
            progress.read(filled);
        }
        return filled;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = BufferUtil.remaining(buffers);
        boolean complete = super.flush(buffers);
        progress.wrote(before - BufferUtil.remaining(buffers), complete);
        return complete;
    }

    @Override
    public void fillInterested(Callback callback) {
        progress.awaitingInput();
        super.fillInterested(callback);
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        progress.awaitingInput();
        return super.tryFillInterested(callback);
    }

    /** Notes that the connection waits for the next request; called by those that register its interest themselves. */
    protected final void awaitingInput() {
        progress.awaitingInput();
    }

    /**
     * Registers interest in input while a request is being processed.
     *
     * @param callback called when there is input
     * @return false if interest is registered already
     */
    protected final boolean watchInput(Callback callback) {
        return super.tryFillInterested(callback);
    }
}
