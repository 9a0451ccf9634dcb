package org.anvillatch.testbed.hostile;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;

/** Ordinary callers: each sends small requests at a fixed rate and waits for each answer. Thread safe. */
final class OrdinaryCallers implements AutoCloseable {
    private static final int CALLERS = 8;
    private static final long PERIOD_MILLIS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long MAX_MICROS = 10_000_000;

    private final String url;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ConcurrentHistogram latencies = new ConcurrentHistogram(MAX_MICROS, 2);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong complete = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /** Figures of a period. */
    record Figures(long sent, long complete, double p99Millis) {}

    OrdinaryCallers(String url) {
        this.url = url;
    }

    void start() {
        for (int index = 0; index < CALLERS; index++) {
            Thread thread = new Thread(this::run, "caller-" + index);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run() {
        while (!stopped) {
            long number = sent.incrementAndGet();
            long startNanos = System.nanoTime();
            boolean post = number % 2 == 0;
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                    .timeout(TIMEOUT)
                    .header("Attempt-Id", "o" + Long.toHexString(startNanos) + "-" + number)
                    .header("Deadline-Ms", "2000");
            request = post ? request.POST(HttpRequest.BodyPublishers.ofString("x".repeat(1_000))) : request.GET();
            try {
                if (client.send(request.build(), HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200) {
                    complete.incrementAndGet();
                    latencies.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / 1_000));
                }
                long spentMillis = (System.nanoTime() - startNanos) / 1_000_000;
                Thread.sleep(Math.max(0, PERIOD_MILLIS - spentMillis));
            } catch (IOException failure) {
                // Counted as sent and not complete.
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    Figures figures() {
        return new Figures(sent.get(), complete.get(), latencies.getValueAtPercentile(99) / 1_000.0);
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
