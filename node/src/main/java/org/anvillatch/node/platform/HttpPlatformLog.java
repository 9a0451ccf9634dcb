package org.anvillatch.node.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.node.HttpClients;
import org.anvillatch.node.Service;
import org.anvillatch.node.StartException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the platform's log over HTTP. {@code POST /streams/NAME/records?history=H} appends the body as a record and
 * returns status 201, or 412 if the log is in another history; {@code GET /streams/NAME/records?from=N&limit=M} reads
 * records. Thread safe.
 */
public final class HttpPlatformLog implements PlatformLog, Service {
    private static final Logger LOG = LoggerFactory.getLogger(HttpPlatformLog.class);
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int MAX_RECORDS_PER_READ = 500;
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
    private static final int CREATED = 201;
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String address;
    private final HttpClient client;

    private record ReadResponse(long history, long first, long next, List<Entry> records) {}

    /**
     * Creates the client.
     *
     * @param address IP address and port of the log service
     * @param executor runs the callbacks
     * @param scheduler runs the timeouts
     */
    public HttpPlatformLog(String address, Executor executor, Scheduler scheduler) {
        this.address = address;
        client = HttpClients.create(executor, scheduler, TIMEOUT_MILLIS);
    }

    @Override
    public void start() throws StartException {
        HttpClients.start(client, "log client for " + address);
    }

    @Override
    public void stop() {
        HttpClients.stop(client, "log client for " + address);
    }

    @Override
    public void append(String stream, long history, byte[] value, Consumer<AppendResult> listener) {
        client.newRequest(recordsUrl(stream) + "?history=" + history)
                .method(HttpMethod.POST)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent("application/octet-stream", value))
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        listener.accept(appendResult(result));
                    }
                });
    }

    private static AppendResult appendResult(Result result) {
        if (result.isFailed()) {
            boolean notSent = result.getFailure() instanceof ConnectException;
            return notSent ? AppendResult.NOT_APPENDED : AppendResult.UNKNOWN;
        }
        int status = result.getResponse().getStatus();
        if (status == CREATED) {
            return AppendResult.APPENDED;
        }
        boolean refused = status == SERVICE_UNAVAILABLE || status == PRECONDITION_FAILED;
        return refused ? AppendResult.NOT_APPENDED : AppendResult.UNKNOWN;
    }

    @Override
    public void read(String stream, long fromOffset, Consumer<ReadResult> listener) {
        client.newRequest(recordsUrl(stream) + "?from=" + fromOffset + "&limit=" + MAX_RECORDS_PER_READ)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean successful =
                                result.isSucceeded() && result.getResponse().getStatus() == OK;
                        listener.accept(successful ? decode(getContent()) : ReadResult.UNAVAILABLE);
                    }
                });
    }

    private ReadResult decode(byte[] content) {
        try {
            ReadResponse response = MAPPER.readValue(content, ReadResponse.class);
            return new ReadResult(true, response.history(), response.first(), response.next(), response.records());
        } catch (IOException malformed) {
            LOG.warn("response of the log service at {} is malformed: {}", address, malformed.getMessage());
            return ReadResult.UNAVAILABLE;
        }
    }

    private String recordsUrl(String stream) {
        return "http://" + address + "/streams/" + stream + "/records";
    }
}
