import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's store, as far as nodes use it: keyed topics with one partition. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Topic> topics = new HashMap<>();
    private final Deployment deployment;

    /** While false, every call gets 503: nothing was done. */
    volatile boolean available = true;

    private static final class Topic {
        private final List<byte[]> records = new ArrayList<>();
        private final TreeMap<String, byte[]> newest = new TreeMap<>();
    }

    Store(String ip, int port, Deployment deployment) throws IOException {
        this.deployment = deployment;
        server = HttpServer.create(new InetSocketAddress(ip, port), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Writes a record of the operator. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer bytes = ByteBuffer.allocate(1 + name.length + content.length);
        bytes.put((byte) name.length).put(name).put(content);
        append(topic, List.of(bytes.array()));
    }

    private synchronized int append(String topic, List<byte[]> records) {
        Topic target = topics.computeIfAbsent(topic, name -> new Topic());
        int offset = target.records.size();
        for (byte[] record : records) {
            target.records.add(record);
            int keyLength = Byte.toUnsignedInt(record[0]);
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            if (value.length == 0) {
                target.newest.remove(key);
            } else {
                target.newest.put(key, value);
            }
        }
        notifyAll();
        return offset;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (!available) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            Thread.sleep(3);
            switch (exchange.getRequestURI().getPath()) {
                case "/log-append" -> handleAppend(exchange, query, body);
                case "/log-newest" -> handleNewest(exchange, query);
                case "/log-read" -> handleRead(exchange, query);
                default -> exchange.sendResponseHeaders(404, -1);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void handleAppend(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            records.add(record);
        }
        int offset;
        synchronized (this) {
            int end = topics.computeIfAbsent(query.get("topic"), name -> new Topic()).records.size();
            String at = query.get("at");
            if (at != null && Integer.parseInt(at) != end) {
                reply(exchange, 412, "{\"end\":" + end + "}");
                return;
            }
            offset = append(query.get("topic"), records);
        }
        reply(exchange, 200, "{\"offset\":" + offset + ",\"end\":" + (offset + records.size()) + "}");
    }

    private void handleNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        int count = 0;
        boolean more = false;
        String after = query.getOrDefault("after", "");
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), name -> new Topic());
            end = topic.records.size();
            for (Map.Entry<String, byte[]> entry : topic.newest.tailMap(after, false).entrySet()) {
                if (count == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                count++;
                items.append(items.length() == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(entry.getKey())
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(entry.getValue()))
                        .append("\",\"offset\":0}");
            }
        }
        reply(exchange, 200, "{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + end + "}");
    }

    private void handleRead(HttpExchange exchange, Map<String, String> query) throws IOException {
        int from = Integer.parseInt(query.get("from"));
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), name -> new Topic());
            while (topic.records.size() <= from) {
                long millis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
                if (millis <= 0) {
                    break;
                }
                try {
                    wait(millis);
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            content.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
            for (int index = from; index < topic.records.size(); index++) {
                byte[] record = topic.records.get(index);
                content.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                content.writeBytes(record);
            }
        }
        exchange.sendResponseHeaders(200, content.size());
        exchange.getResponseBody().write(content.toByteArray());
    }

    private static void reply(HttpExchange exchange, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
