package org.anvillatch.node;

import java.util.function.Consumer;

import org.eclipse.jetty.util.Callback;

/** Callback that reads a connection on the selector's thread, for connections whose reads do not block. Thread safe. */
public final class NonBlockingReadCallback implements Callback {
    private final Runnable read;
    private final Consumer<Throwable> failed;

    /**
     * Creates the callback of one connection.
     *
     * @param read called when the connection is readable
     * @param failed receives the failure if the connection cannot be read any more
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
