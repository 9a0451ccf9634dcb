package org.anvillatch.testbed.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Stand-in for the platform's log service: append-only streams with offsets, bounded retention, simulated outages, and
 * restores from an older copy. {@code POST /control?mode=MODE&retain=N&copy=save|restore} sets its behaviour. Thread
 * safe.
 */
public final class LogStandIn implements AutoCloseable {
    private static final int CREATED = 201;
    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** How the service behaves. */
    public enum Mode {
        /** Serves all requests. */
        UP,
        /** Rejects every request. */
        DOWN,
        /** Executes appends, but closes the connection instead of responding to them. */
        LOSES_ANSWERS
    }

    private record Entry(long offset, byte[] value) {}

    private record ReadResponse(long history, long first, long next, List<Entry> records) {}

    private record AppendResponse(long offset) {}

    private static final class Stream {
        private final List<Entry> entries = new ArrayList<>();
        private long next;

        private static Stream copyOf(Stream original) {
            Stream stream = new Stream();
            stream.entries.addAll(original.entries);
            stream.next = original.next;
            return stream;
        }
    }

    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final Map<String, Stream> streams = new HashMap<>();
    private final Map<String, Stream> copy = new HashMap<>();
    private long history;
    private Mode mode = Mode.UP;
    private int maxRecords = Integer.MAX_VALUE;

    /**
     * Starts the service.
     *
     * @param port port on the loopback address, 0 for any free port
     * @throws Exception if it cannot listen
     */
    public LogStandIn(int port) throws Exception {
        connector.setHost("127.0.0.1");
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new LogHandler());
        server.start();
    }

    /**
     * Returns the address that the service listens on.
     *
     * @return IP address and port
     */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    /**
     * Sets the behaviour.
     *
     * @param newMode the behaviour
     */
    public synchronized void setMode(Mode newMode) {
        mode = newMode;
    }

    /**
     * Sets how many records a stream retains; the oldest are dropped.
     *
     * @param records maximum number of retained records in each stream
     */
    public synchronized void setMaxRecords(int records) {
        maxRecords = records;
        streams.values().forEach(this::dropOldest);
    }

    private void dropOldest(Stream stream) {
        while (stream.entries.size() > maxRecords) {
            stream.entries.remove(0);
        }
    }

    /** Saves a copy of all streams. */
    public synchronized void saveCopy() {
        copyStreams(streams, copy);
    }

    /** Goes back to the saved copy: later records are lost, and their offsets are given out again. */
    public synchronized void restoreCopy() {
        history++;
        copyStreams(copy, streams);
    }

    private static void copyStreams(Map<String, Stream> from, Map<String, Stream> to) {
        to.clear();
        from.forEach((name, stream) -> to.put(name, Stream.copyOf(stream)));
    }

    /**
     * Returns how many records have been appended to a stream, including dropped ones.
     *
     * @param name name of the stream
     * @return offset of the next record
     */
    public synchronized long nextOffset(String name) {
        return streams.containsKey(name) ? streams.get(name).next : 0;
    }

    /** Appends a record and returns its offset, or nothing if the log is in another history. */
    private synchronized OptionalLong append(String name, long expectedHistory, byte[] value) {
        if (expectedHistory != history) {
            return OptionalLong.empty();
        }
        Stream stream = streams.computeIfAbsent(name, unused -> new Stream());
        stream.entries.add(new Entry(stream.next, value));
        dropOldest(stream);
        return OptionalLong.of(stream.next++);
    }

    private synchronized ReadResponse read(String name, long from, int limit) {
        Stream stream = streams.computeIfAbsent(name, unused -> new Stream());
        List<Entry> records = stream.entries.stream()
                .filter(entry -> entry.offset() >= from)
                .limit(limit)
                .toList();
        long first =
                stream.entries.isEmpty() ? stream.next : stream.entries.get(0).offset();
        return new ReadResponse(history, first, stream.next, records);
    }

    private synchronized Mode mode() {
        return mode;
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    private final class LogHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String path = Request.getPathInContext(request);
            Fields query = Request.extractQueryParameters(request);
            if (path.equals("/control")) {
                applyControl(query);
                callback.succeeded();
            } else if (mode() == Mode.DOWN) {
                response.setStatus(SERVICE_UNAVAILABLE);
                callback.succeeded();
            } else if (request.getMethod().equals("POST")) {
                long expectedHistory = Long.parseLong(query.getValue("history"));
                handleAppend(path.split("/")[2], expectedHistory, request, response, callback);
            } else {
                long from = Long.parseLong(query.getValue("from"));
                int limit = Integer.parseInt(query.getValue("limit"));
                write(response, read(path.split("/")[2], from, limit), callback);
            }
            return true;
        }

        private void applyControl(Fields query) {
            if (query.getValue("mode") != null) {
                setMode(Mode.valueOf(query.getValue("mode")));
            }
            if (query.getValue("retain") != null) {
                setMaxRecords(Integer.parseInt(query.getValue("retain")));
            }
            if ("save".equals(query.getValue("copy"))) {
                saveCopy();
            } else if ("restore".equals(query.getValue("copy"))) {
                restoreCopy();
            }
        }

        private void handleAppend(
                String stream, long expectedHistory, Request request, Response response, Callback callback) {
            Content.Source.asByteArrayAsync(request, MAX_RECORD_BYTES).whenComplete((value, failure) -> {
                if (failure != null) {
                    callback.failed(failure);
                    return;
                }
                OptionalLong offset = append(stream, expectedHistory, value);
                if (mode() == Mode.LOSES_ANSWERS) {
                    request.getConnectionMetaData()
                            .getConnection()
                            .getEndPoint()
                            .close();
                    callback.failed(new IllegalStateException("append response dropped in mode LOSES_ANSWERS"));
                    return;
                }
                if (offset.isEmpty()) {
                    response.setStatus(PRECONDITION_FAILED);
                    callback.succeeded();
                    return;
                }
                response.setStatus(CREATED);
                write(response, new AppendResponse(offset.getAsLong()), callback);
            });
        }

        private static void write(Response response, Object value, Callback callback) {
            try {
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
                Content.Sink.write(response, true, MAPPER.writeValueAsString(value), callback);
            } catch (JsonProcessingException failure) {
                callback.failed(failure);
            }
        }
    }
}
