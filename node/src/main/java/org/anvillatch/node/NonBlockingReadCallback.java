package org.anvillatch.node;

import java.util.function.Consumer;

import org.eclipse.jetty.util.Callback;

/** Reads a connection on the selector's own thread, for connections whose reads do not block. Thread safe. */
public final class NonBlockingReadCallback implements Callback {
    private final Runnable read;
    private final Consumer<Throwable> failed;

    /**
     * Creates the callback of one connection.
     *
     * @param read runs when something can be read
     * @param failed receives why nothing will be
     */
    public NonBlockingReadCallback(Runnable read, Consumer<Throwable> failed) {
        this.read = read;
        this.failed = failed;
    }

    @Override
    public void succeeded() {
        read.run();
    }

    @Override
    public void failed(Throwable failure) {
        failed.accept(failure);
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
