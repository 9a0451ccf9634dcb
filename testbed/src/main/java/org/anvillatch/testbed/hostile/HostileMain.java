package org.anvillatch.testbed.hostile;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Sends each shape of hostile traffic to each path of a node process with the deployed heap, while ordinary callers are
 * served, and prints what the node needed. Stateless.
 */
public final class HostileMain {
    private static final int WRONG_ARGUMENTS = 2;
    private static final double REQUIRED_RATIO = 0.99;
    private static final int LARGE_BYTES = 64 * 1024 * 1024;

    private HostileMain() {}

    private record Target(InetSocketAddress address, String path) {}

    private record Sample(OrdinaryCallers.Figures ordinary, long peakHeap, int readinessMisses) {}

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    /**
     * Runs the load.
     *
     * @param arguments flags
     * @return exit status: 0 if all requirements hold, 1 if not, 2 for wrong arguments
     * @throws Exception if the nodes cannot be started
     */
    public static int run(String[] arguments) throws Exception {
        Options options = new Options();
        options.addOption(option("seconds", "duration of each shape on each path; default 6"));
        options.addOption(option("connections", "hostile connections at a time; default 300"));
        options.addOption(option("seed", "seed of the shapes; default 1"));
        options.addOption(option("shape", "one shape; default all"));
        options.addOption(option("path", "route, no-route, readiness, heartbeat, peer or metrics; default all"));
        options.addOption(option("out", "directory for the logs of the nodes; default out"));
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options, arguments);
        } catch (ParseException failure) {
            System.err.println(failure.getMessage());
            return WRONG_ARGUMENTS;
        }
        Path out = Files.createDirectories(
                Path.of(line.getOptionValue("out", "out")).resolve("hostile"));
        try (PlatformSite site = new PlatformSite(out)) {
            PlatformSite.Host victim = site.startHost("one", "desk");
            PlatformSite.Host other = site.startHost("two", "work");
            return new Run(site, victim, other, line).run();
        }
    }

    /** One run against two started hosts. */
    private static final class Run {
        private final PlatformSite site;
        private final PlatformSite.Host victim;
        private final PlatformSite.Host other;
        private final CommandLine line;
        private final int seconds;
        private final int connections;
        private boolean good = true;

        private Run(PlatformSite site, PlatformSite.Host victim, PlatformSite.Host other, CommandLine line) {
            this.site = site;
            this.victim = victim;
            this.other = other;
            this.line = line;
            this.seconds = Integer.parseInt(line.getOptionValue("seconds", "6"));
            this.connections = Integer.parseInt(line.getOptionValue("connections", "300"));
        }

        private int run() throws Exception {
            awaitService();
            sendLarge("GET");
            sendLarge("POST");
            Sample warm = measure(2 * seconds);
            Sample base = measure(seconds);
            System.out.printf(
                    Locale.ROOT,
                    "without hostile callers: ordinary %d of %d complete, p99 %.1f ms (first %d of %d)%n",
                    base.ordinary().complete(),
                    base.ordinary().sent(),
                    base.ordinary().p99Millis(),
                    warm.ordinary().complete(),
                    warm.ordinary().sent());
            System.out.printf(
                    "%-16s %-10s %8s %8s %9s %9s %9s %8s %8s %6s%n",
                    "shape", "path", "opened", "sent MB", "heap MB", "RSS MB", "complete", "ratio", "p99 ms", "state");
            for (Shape shape : Shape.values()) {
                for (Map.Entry<String, Target> target : targets().entrySet()) {
                    if (isChosen("shape", shape.label()) && isChosen("path", target.getKey())) {
                        attack(shape, target.getKey(), target.getValue(), base);
                    }
                }
            }
            sendLarge("GET");
            System.out.println(good ? "all requirements hold" : "NOT all requirements hold");
            return good ? 0 : 1;
        }

        private boolean isChosen(String flag, String value) {
            return line.getOptionValue(flag, value).equals(value);
        }

        private Map<String, Target> targets() {
            Map<String, Target> targets = new LinkedHashMap<>();
            targets.put("route", new Target(victim.caller(), PlatformSite.ROUTE_PATH));
            targets.put("no-route", new Target(victim.caller(), "/none"));
            targets.put("readiness", new Target(victim.readiness(), "/readiness"));
            targets.put("heartbeat", new Target(victim.heartbeat(), "/instances/i-x/heartbeat"));
            targets.put("peer", new Target(victim.peer(), "/"));
            targets.put("metrics", new Target(victim.metrics(), "/metrics"));
            return targets;
        }

        private String url() {
            return "http:/" + victim.caller() + PlatformSite.ROUTE_PATH;
        }

        private void awaitService() throws InterruptedException {
            for (int tries = 0; tries < 100; tries++) {
                try (OrdinaryCallers callers = new OrdinaryCallers(url())) {
                    callers.start();
                    Thread.sleep(100);
                    if (callers.figures().complete() > 0) {
                        return;
                    }
                }
            }
            throw new IllegalStateException("the route is not served");
        }

        /** Sends a request with a body, or for an answer, of the maximum length. */
        private void sendLarge(String method) throws Exception {
            byte[] body = method.equals("POST") ? new byte[LARGE_BYTES] : new byte[0];
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create(url() + (method.equals("GET") ? "?" + LARGE_BYTES : "")))
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(25))
                    .header("Attempt-Id", "large" + System.nanoTime())
                    .header("Deadline-Ms", "20000")
                    .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                    .build();
            long startNanos = System.nanoTime();
            HttpResponse<byte[]> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofByteArray());
            int expected = method.equals("GET") ? LARGE_BYTES : 2_000;
            boolean complete = response.statusCode() == 200 && response.body().length == expected;
            good &= complete;
            System.out.printf(
                    Locale.ROOT,
                    "%s with 64 MiB through two hosts: status %d, %d bytes, %d ms, RSS %d and %d MB%n",
                    method,
                    response.statusCode(),
                    response.body().length,
                    (System.nanoTime() - startNanos) / 1_000_000,
                    PlatformSite.peakResidentBytes(victim) >> 20,
                    PlatformSite.peakResidentBytes(other) >> 20);
        }

        private Sample measure(int duration) throws InterruptedException {
            long peakHeap = 0;
            int misses = 0;
            try (OrdinaryCallers callers = new OrdinaryCallers(url())) {
                callers.start();
                for (int second = 0; second < duration; second++) {
                    Thread.sleep(1_000);
                    peakHeap = Math.max(peakHeap, site.metric(victim, "memory_heap_used_bytes"));
                    misses += site.status(victim.readiness(), "/readiness") == 200 ? 0 : 1;
                }
                callers.close();
                return new Sample(callers.figures(), peakHeap, misses);
            }
        }

        private void attack(Shape shape, String name, Target target, Sample base) throws Exception {
            long seed = Long.parseLong(line.getOptionValue("seed", "1"));
            long opened;
            long sent;
            Sample sample;
            try (HostileClients clients =
                    new HostileClients(target.address(), target.path(), shape, connections, seed)) {
                clients.start();
                sample = measure(seconds);
                opened = clients.opened();
                sent = clients.bytesSent();
            }
            double ratio =
                    sample.ordinary().complete() / (double) base.ordinary().complete();
            boolean alive = victim.process().isAlive() && other.process().isAlive();
            boolean ready = site.status(victim.readiness(), "/readiness") == 200;
            boolean held = alive && ready && sample.readinessMisses() <= 1 && ratio >= REQUIRED_RATIO;
            good &= held;
            System.out.printf(
                    Locale.ROOT,
                    "%-16s %-10s %8d %8.1f %9d %9d %9d %8.3f %8.1f %s%n",
                    shape.label(),
                    name,
                    opened,
                    sent / 1e6,
                    sample.peakHeap() >> 20,
                    PlatformSite.peakResidentBytes(victim) >> 20,
                    sample.ordinary().complete(),
                    ratio,
                    sample.ordinary().p99Millis(),
                    (alive ? "alive" : "DEAD")
                            + (ready ? ",ready" : ",NOT READY")
                            + (sample.readinessMisses() > 0 ? "," + sample.readinessMisses() + " misses" : ""));
        }
    }
}
