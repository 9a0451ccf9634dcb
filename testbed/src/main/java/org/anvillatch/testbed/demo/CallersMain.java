package org.anvillatch.testbed.demo;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.load.HttpSender;
import org.anvillatch.testbed.load.NodeTarget;
import org.anvillatch.testbed.site.SiteSpec;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Runs stand-in callers as a separate process. Stateless.
 */
public final class CallersMain {
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 200;
    private static final int THREADS = 32;
    private static final int CALLER_RETRIES = 2;
    private static final long CALLER_RETRY_PAUSE_MILLIS = 100;
    private static final long ONE_WAY_LATENCY_MICROS = 1_000;
    private static final double RAMP_SECONDS = 5;
    private static final int PROGRESS_INTERVAL_REQUESTS = 500;

    private CallersMain() {}

    /**
     * Sends requests for a given time.
     *
     * @param arguments name of the site, duration in seconds, requests per second, random seed, caller addresses of the
     *     nodes separated by commas, history file
     * @return exit status, always 0
     * @throws Exception if the callers cannot start
     */
    public static int run(String[] arguments) throws Exception {
        SiteSpec spec = SiteSpec.byName(arguments[0]);
        double seconds = Double.parseDouble(arguments[1]);
        double rate = Double.parseDouble(arguments[2]);
        long seed = Long.parseLong(arguments[3]);
        List<String> addresses = List.of(arguments[4].split(","));
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        threads.start();
        scheduler.start();
        try (History history = new History(Path.of(arguments[5]));
                HttpSender sender = new HttpSender(threads, scheduler, MAX_CONNECTIONS_PER_ADDRESS)) {
            AtomicInteger ended = new AtomicInteger();
            AtomicInteger whole = new AtomicInteger();
            Callers callers = new Callers(
                    spec,
                    sender,
                    new NodeTarget(() -> addresses),
                    timer,
                    history,
                    new Callers.Behaviour(
                            "demo", seed, CALLER_RETRIES, CALLER_RETRY_PAUSE_MILLIS, ONE_WAY_LATENCY_MICROS, 0.5),
                    result -> {
                        whole.addAndGet(result.whole() ? 1 : 0);
                        if (ended.incrementAndGet() % PROGRESS_INTERVAL_REQUESTS == 0) {
                            System.out.println(ended + " requests ended, " + whole + " whole");
                        }
                    });
            // Nodes admit only a quarter of a cold endpoint's slots at first, so the arrival rate increases gradually.
            callers.run(seconds, atSeconds -> rate * Math.min(1, (1 + atSeconds) / RAMP_SECONDS));
        } finally {
            timer.shutdownNow();
            threads.stop();
            scheduler.stop();
        }
        return 0;
    }
}
