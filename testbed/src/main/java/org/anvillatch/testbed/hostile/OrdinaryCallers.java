package org.anvillatch.testbed.hostile;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;

/** Ordinary callers, which send small requests at a fixed rate. Thread safe. */
final class OrdinaryCallers implements AutoCloseable {
    /** Requests per second: a host's share of the calls of such a deployment. */
    private static final int RATE_PER_SECOND = 200;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long MAX_MICROS = 10_000_000;

    private final String url;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ConcurrentHistogram latencies = new ConcurrentHistogram(MAX_MICROS, 2);
    private final Map<String, Integer> results = new ConcurrentSkipListMap<>();
    private final AtomicLong complete = new AtomicLong();
    private final List<CompletableFuture<?>> open = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "ordinary");
    private volatile long sent;
    private volatile boolean stopped;

    /** Figures of a period. */
    record Figures(long sent, long complete, double p99Millis, Map<String, Integer> results) {
        double completeShare() {
            return complete / (double) sent;
        }
    }

    OrdinaryCallers(String url) {
        this.url = url;
    }

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends at a fixed rate, however long the answers take. */
    private void run() {
        long startNanos = System.nanoTime();
        while (!stopped) {
            long due = (System.nanoTime() - startNanos) * RATE_PER_SECOND / 1_000_000_000;
            while (sent < due) {
                send(sent);
                sent = sent + 1;
            }
            try {
                Thread.sleep(1);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void send(long number) {
        long startNanos = System.nanoTime();
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("Attempt-Id", "o" + Long.toHexString(startNanos) + "-" + number)
                .header("Deadline-Ms", "2000");
        request = number % 2 == 0 ? request.POST(HttpRequest.BodyPublishers.ofString("x".repeat(1_000))) : request;
        open.add(client.sendAsync(request.build(), HttpResponse.BodyHandlers.discarding())
                .handle((response, failure) -> {
                    String result = failure == null
                            ? Integer.toString(response.statusCode())
                            : failure.getClass().getSimpleName();
                    results.merge(result, 1, Integer::sum);
                    if (result.equals("200")) {
                        complete.incrementAndGet();
                        latencies.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / 1_000));
                    }
                    return null;
                }));
    }

    Figures figures() {
        return new Figures(sent, complete.get(), latencies.getValueAtPercentile(99) / 1_000.0, results);
    }

    /** Stops to send and waits for the open requests. */
    @Override
    public void close() throws InterruptedException {
        stopped = true;
        thread.join();
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new)).join();
    }
}
