package org.anvillatch.testbed.hostile;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.sun.net.httpserver.HttpExchange;

/** Stand-in of the platform's store with one configuration; it implements what nodes use. Thread safe. */
final class StoreStandIn {
    private final Map<String, List<Entry>> topics = new HashMap<>();

    private record Entry(String key, byte[] value) {}

    StoreStandIn(String configuration) {
        topics.put(
                "keyed.op",
                new ArrayList<>(List.of(new Entry("config", configuration.getBytes(StandardCharsets.UTF_8)))));
    }

    void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        for (String field : exchange.getRequestURI().getQuery().split("&")) {
            query.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
        }
        String topic = query.get("topic");
        byte[] request = exchange.getRequestBody().readAllBytes();
        byte[] response =
                switch (exchange.getRequestURI().getPath()) {
                    case "/log-newest" -> newest(topic);
                    case "/log-append" -> append(topic, ByteBuffer.wrap(request));
                    default -> read(topic, Integer.parseInt(query.get("from")), Long.parseLong(query.get("wait_ms")));
                };
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(200, response.length);
        exchange.getResponseBody().write(response);
        exchange.close();
    }

    private synchronized byte[] append(String topic, ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte[] rest = new byte[bytes.getInt()];
            bytes.get(rest);
            int keyLength = rest[0];
            byte[] value = new byte[rest.length - 1 - keyLength];
            System.arraycopy(rest, 1 + keyLength, value, 0, value.length);
            Entry entry = new Entry(new String(rest, 1, keyLength, StandardCharsets.UTF_8), value);
            topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(entry);
        }
        notifyAll();
        return "{}".getBytes(StandardCharsets.UTF_8);
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

    private synchronized byte[] read(String topic, int from, long waitMillis) throws IOException {
        long endMillis = System.currentTimeMillis() + waitMillis;
        try {
            long remaining = waitMillis;
            while (topics.getOrDefault(topic, List.of()).size() <= from && remaining > 0) {
                wait(remaining);
                remaining = endMillis - System.currentTimeMillis();
            }
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }
}
