package org.anvillatch.node.listener;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.memory.BodyReader;
import org.anvillatch.node.memory.Reservation;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Reads small bodies of requests on guarded listeners, within the account of the process. Jetty's own method keeps an
 * input buffer of the socket for each piece of a body, however small. Stateless and thread safe.
 */
public final class RequestBodies {
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Thrown if there is no memory for a body; its request has not run. */
    private static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;

        private ExhaustedException() {
            super("no memory for the body");
        }
    }

    /** Thrown if a body is longer than its listener accepts. */
    private static final class TooLongException extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        private TooLongException() {
            super("the body is too long");
        }
    }

    private RequestBodies() {}

    /**
     * Reads a body. Its memory stays reserved until the request is complete.
     *
     * @param request the request
     * @param maxLength maximum length in bytes
     * @return the body; fails with {@link IllegalStateException} if it is too long
     */
    public static CompletableFuture<byte[]> read(Request request, int maxLength) {
        GuardedEndPoint endPoint = (GuardedEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        new BodyReader(
                        request,
                        request.getLength(),
                        maxLength,
                        endPoint.incompleteBodies(),
                        endPoint::close,
                        new ResultListener(request, result))
                .start();
        return result;
    }

    /**
     * Answers a request whose body was not read for lack of memory.
     *
     * @param failure why the body was not read
     * @param response response to the request
     * @param callback completed when the response was written
     * @return false if there was another reason; nothing is written then
     */
    public static boolean refuseIfExhausted(Throwable failure, Response response, Callback callback) {
        if (!(failure instanceof ExhaustedException)) {
            return false;
        }
        response.setStatus(SERVICE_UNAVAILABLE);
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        response.getHeaders().put(HttpHeader.RETRY_AFTER, 1);
        response.write(true, null, callback);
        return true;
    }

    /**
     * Answers a request whose body is too long.
     *
     * @param failure why the body was not read
     * @param response response to the request
     * @param callback completed when the response was written
     * @return false if there was another reason; nothing is written then
     */
    public static boolean refuseIfTooLong(Throwable failure, Response response, Callback callback) {
        if (!(failure instanceof TooLongException)) {
            return false;
        }
        response.setStatus(CONTENT_TOO_LARGE);
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        response.write(true, null, callback);
        return true;
    }

    private record ResultListener(Request request, CompletableFuture<byte[]> result) implements BodyReader.Listener {
        @Override
        public void completed(List<ByteBuffer> segments, Reservation reservation) {
            Request.addCompletionListener(request, failure -> reservation.close());
            result.complete(new CallBody("", segments, null).content());
        }

        @Override
        public void tooLarge() {
            result.completeExceptionally(new TooLongException());
        }

        @Override
        public void outOfMemory() {
            result.completeExceptionally(new ExhaustedException());
        }

        @Override
        public void failed(Throwable failure) {
            result.completeExceptionally(failure);
        }
    }
}
