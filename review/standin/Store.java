import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store, with the calls that nodes make: keyed topics of one partition. Thread safe. */
final class Store implements AutoCloseable {
    private static final byte[] NO_ANSWER = {};

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private volatile boolean silent;
    private int outages;

    private record Entry(String key, byte[] value) {}

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    synchronized void put(String topic, String key, byte[] value) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Entry(key, value));
        notifyAll();
    }

    void putConfiguration(String json) {
        put("keyed.op", "config", json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Starts or ends an outage in which the store does not respond: calls that wait when it begins, and calls that arrive
     * during it, get no answer, and their connections return nothing further.
     */
    synchronized void setSilent(boolean next) {
        silent = next;
        outages += next ? 1 : 0;
        notifyAll();
    }

    private static void neverAnswer() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            if (silent) {
                neverAnswer();
            }
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            String topic = query.get("topic");
            byte[] answer =
                    switch (exchange.getRequestURI().getPath()) {
                        case "/log-newest" -> newest(topic);
                        case "/log-read" ->
                            read(
                                    topic,
                                    Integer.parseInt(query.get("from")),
                                    Long.parseLong(query.getOrDefault("wait_ms", "0")));
                        case "/log-append" -> append(topic, exchange);
                        default -> null;
                    };
            if (answer == NO_ANSWER) {
                neverAnswer();
            }
            exchange.getResponseHeaders().put("Store-Era", List.of("1"));
            exchange.sendResponseHeaders(answer == null ? 404 : 200, answer == null ? -1 : answer.length);
            if (answer != null) {
                exchange.getResponseBody().write(answer);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] append(String topic, HttpExchange exchange) throws IOException {
        DataInputStream in = new DataInputStream(exchange.getRequestBody());
        int length = in.readInt();
        byte[] record = in.readNBytes(length);
        String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
        put(topic, key, value);
        synchronized (this) {
            int end = topics.get(topic).size();
            return ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8);
        }
    }

    private synchronized byte[] newest(String topic) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            String value = Base64.getEncoder().encodeToString(entry.value());
            items.put(
                    entry.key(),
                    "{\"key\":\"" + entry.key() + "\",\"value\":\"" + value + "\",\"offset\":" + offset + "}");
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + entries.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String topic, int from, long waitMillis) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + waitMillis;
        int outagesBefore = outages;
        while (topics.getOrDefault(topic, List.of()).size() <= from && System.currentTimeMillis() < end) {
            wait(Math.max(1, end - System.currentTimeMillis()));
            if (outages != outagesBefore) {
                return NO_ANSWER;
            }
        }
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.write(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
