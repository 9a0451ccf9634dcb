package org.anvillatch.node.listener;

import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.memory.Reservation;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * Creates HTTP connections whose heads are bounded in fields, and accounted for, while they are parsed: a head of legal
 * size with very many short fields takes thirty times its size. Thread safe.
 */
public final class GuardedHttpFactory extends HttpConnectionFactory {
    /** Maximum number of header fields of a request, including those of its trailer. */
    public static final int MAX_FIELDS = 256;

    private static final int HEADER_FIELDS_TOO_LARGE = 431;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Bytes that are reserved at a time; the first block suffices for an ordinary head. */
    private static final int BLOCK_BYTES = 4 * 1024;

    /**
     * Creates the factory.
     *
     * @param configuration configuration of its connections
     */
    public GuardedHttpFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        GuardedConnection connection =
                new GuardedConnection(getHttpConfiguration(), connector, (GuardedEndPoint) endPoint);
        connection.setUseInputDirectByteBuffers(isUseInputDirectByteBuffers());
        connection.setUseOutputDirectByteBuffers(isUseOutputDirectByteBuffers());
        return configure(connection, connector, endPoint);
    }

    private static final class GuardedConnection extends HttpConnection {
        private final GuardedEndPoint guarded;
        private final Reservation reservation;

        private GuardedConnection(HttpConfiguration configuration, Connector connector, GuardedEndPoint endPoint) {
            super(configuration, connector, endPoint);
            this.guarded = endPoint;
            this.reservation = endPoint.reservation();
        }

        @Override
        protected RequestHandler newRequestHandler() {
            return new GuardedRequestHandler();
        }

        private final class GuardedRequestHandler extends RequestHandler {
            private int fields;
            private long headBytes;
            private long reservedBytes;

            @Override
            public void startRequest(String method, String uri, HttpVersion version) {
                guarded.progress().headStarted();
                fields = 0;
                headBytes = 0;
                reservedBytes = 0;
                reservation.reduceTo(ListenerConnections.CONNECTION_BYTES);
                count(uri.length());
                super.startRequest(method, uri, version);
            }

            @Override
            public void parsedHeader(HttpField field) {
                countField(field);
                super.parsedHeader(field);
            }

            @Override
            public void parsedTrailer(HttpField field) {
                countField(field);
                super.parsedTrailer(field);
            }

            private void countField(HttpField field) {
                fields++;
                if (fields > MAX_FIELDS) {
                    throw new BadMessageException(
                            HEADER_FIELDS_TOO_LARGE, "more than " + MAX_FIELDS + " header fields");
                }
                String value = field.getValue();
                count(MemoryBudget.FIELD_BYTES + field.getName().length() + (value == null ? 0 : value.length()));
            }

            private void count(int bytes) {
                headBytes += bytes;
                if (headBytes <= reservedBytes) {
                    return;
                }
                MemoryBudget.Holder holder = reservedBytes == 0 ? MemoryBudget.Holder.SMALL : MemoryBudget.Holder.LARGE;
                long block = Math.max(BLOCK_BYTES, headBytes - reservedBytes);
                if (!reservation.tryGrow(block, holder)) {
                    throw new BadMessageException(SERVICE_UNAVAILABLE, "no memory for the head");
                }
                reservedBytes += block;
            }

            @Override
            public boolean headerComplete() {
                guarded.progress().headComplete(getParser().getContentLength());
                return super.headerComplete();
            }

            @Override
            public boolean messageComplete() {
                guarded.progress().requestComplete();
                return super.messageComplete();
            }
        }
    }
}
