package org.anvillatch.testbed.hostile;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.anvillatch.testbed.site.RunningSite;

/**
 * Two node processes of the users' platform, started by the command of {@code deploy/system.toml}, with a stand-in of the
 * store and an endpoint each. Not thread safe, except for the queries.
 */
final class PlatformSite implements AutoCloseable {
    static final String ROUTE_PATH = "/work/x";
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] ANSWER = new byte[2_000];

    private final Path directory;
    private final HttpServer store;
    private final List<Host> hosts = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicLong sequence = new AtomicLong();

    /** A node process and its endpoint. */
    record Host(String name, List<Integer> ports, HttpServer endpoint, Process process) {
        InetSocketAddress caller() {
            return address(0);
        }

        InetSocketAddress readiness() {
            return address(1);
        }

        InetSocketAddress heartbeat() {
            return address(2);
        }

        InetSocketAddress peer() {
            return address(3);
        }

        InetSocketAddress metrics() {
            return address(4);
        }

        private InetSocketAddress address(int index) {
            return new InetSocketAddress("127.0.0.1", ports.get(index));
        }
    }

    PlatformSite(Path directory) throws IOException {
        this.directory = directory;
        this.store = serve(new StoreStandIn(configuration())::handle);
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"work\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/work/\","
                + "\"kind\":\"safe\",\"timeout\":\"20000ms\",\"target_latency\":\"1500ms\",\"priority\":0,\"public\":true,"
                + "\"service\":\"work\",\"max_attempts\":2}],\"services\":[{\"name\":\"work\",\"max_connections\":64}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES
                + ",\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
    }

    private static HttpServer serve(com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.createContext("/", handler);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
        return server;
    }

    /** Starts a host whose endpoint serves a service, and waits until it is ready. */
    Host startHost(String name, String service) throws Exception {
        HttpServer endpoint = serve(PlatformSite::answer);
        List<Integer> ports = RunningSite.freePorts(5);
        String local = "127.0.0.1:";
        Path settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"host\":\"" + name + "\",\"domain\":\"d-" + name + "\",\"service\":\"" + service
                        + "\",\"endpointAddress\":\"" + local
                        + endpoint.getAddress().getPort()
                        + "\",\"callerAddress\":\"" + local + ports.get(0) + "\",\"readinessAddress\":\"" + local
                        + ports.get(1) + "\",\"heartbeatAddress\":\"" + local + ports.get(2)
                        + "\",\"peerAddress\":\"" + local + ports.get(3) + "\",\"metricsAddress\":\"" + local
                        + ports.get(4) + "\",\"storeAddress\":\"" + local
                        + store.getAddress().getPort()
                        + "\",\"retryShare\":\"0.2\",\"retrySlack\":\"50\",\"stopTimeout\":\"6s\"}");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("ANVILLATCH_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        Host host = new Host(name, ports, endpoint, builder.start());
        hosts.add(host);
        RunningSite.await(name + " is ready", () -> status(host.readiness(), "/readiness") == 200);
        Thread beat = new Thread(() -> sendHeartbeats(host, service), "beat-" + name);
        beat.setDaemon(true);
        beat.start();
        return host;
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no line run");
    }

    /** Answers with as many bytes as the request asks for, 2,000 by default. */
    private static void answer(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().transferTo(OutputStream.nullOutputStream());
        String id = exchange.getRequestHeaders().getFirst("Attempt-Id");
        exchange.getResponseHeaders().set("Attempt-Id", id);
        exchange.getResponseHeaders().set("Response-Signature", "signed");
        String query = exchange.getRequestURI().getQuery();
        int length = query == null ? ANSWER.length : Integer.parseInt(query);
        exchange.sendResponseHeaders(200, length);
        try (OutputStream body = exchange.getResponseBody()) {
            for (int sent = 0; sent < length; sent += ANSWER.length) {
                body.write(ANSWER, 0, Math.min(ANSWER.length, length - sent));
            }
        }
    }

    private void sendHeartbeats(Host host, String service) {
        while (host.process().isAlive()) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                    + host.endpoint().getAddress().getPort()
                    + "\",\"zone\":\"z\",\"version\":\"v\",\"slots\":64,\"state\":\"ready\",\"warmup_left\":\"0ms\","
                    + "\"sequence\":" + sequence.incrementAndGet() + ",\"born\":1}";
            try {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http:/" + host.heartbeat() + "/instances/i-" + host.name() + "/heartbeat"))
                        .timeout(QUERY_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
                client.send(request, HttpResponse.BodyHandlers.discarding());
                TimeUnit.MILLISECONDS.sleep(500);
            } catch (IOException missed) {
                // The next heartbeat follows.
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /** Returns the status of a query, 0 without a response. */
    int status(InetSocketAddress address, String path) {
        try {
            return client.send(query(address, path), HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException failure) {
            return 0;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Returns a metric of a host, -1 if it cannot be read. */
    long metric(Host host, String name) {
        try {
            String text = client.send(query(host.metrics(), "/metrics"), HttpResponse.BodyHandlers.ofString())
                    .body();
            for (String line : text.split("\n")) {
                if (line.startsWith("anvillatch_" + name + " ")) {
                    return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
                }
            }
            return -1;
        } catch (IOException failure) {
            return -1;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private static HttpRequest query(InetSocketAddress address, String path) {
        return HttpRequest.newBuilder(URI.create("http:/" + address + path))
                .timeout(QUERY_TIMEOUT)
                .build();
    }

    /** Returns the peak resident size of a host's process in bytes, from the kernel. */
    static long peakResidentBytes(Host host) throws IOException {
        for (String line :
                Files.readAllLines(Path.of("/proc/" + host.process().pid() + "/status"), StandardCharsets.US_ASCII)) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        return 0;
    }

    @Override
    public void close() {
        for (Host host : hosts) {
            host.process().destroyForcibly();
            host.endpoint().stop(0);
        }
        store.stop(0);
    }
}
