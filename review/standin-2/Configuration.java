import java.util.ArrayList;
import java.util.List;

/** Builds a desired state. */
final class Configuration {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();

    Configuration service(String name) {
        services.add("{\"name\":\"" + name
                + "\",\"health_path\":\"/health\",\"max_connections\":652,\"protocol\":\"h1\",\"tls\":false}");
        return this;
    }

    Configuration tenant(String name, String key) {
        tenants.add("{\"name\":\"" + name + "\",\"api_keys\":[\"" + key
                + "\"],\"priority\":1,\"rate_per_s\":456,\"burst\":456}");
        return this;
    }

    Configuration route(String name, String host, String prefix, String kind, int timeoutMillis, String service) {
        routes.add("{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout\":\"" + timeoutMillis
                + "ms\",\"target_latency\":\"1500ms\",\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2}");
        return this;
    }

    String build(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services)
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
                + "\"idle_timeout\":\"15000ms\"}"
                + (tenants.isEmpty() ? "" : ",\"tenants\":[" + String.join(",", tenants) + "]") + "}";
    }
}
