package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests matching, versions and weights of routes. */
class ActiveRoutesTest {
    private final ActiveRoutes routes = new ActiveRoutes();
    private final SplittableRandom random = new SplittableRandom(3);

    private static RequestRoute route(String name, String prefix, WeightedService... services) {
        return new RequestRoute(name, "book.example", prefix, List.of(services), true, 800, 500, 14, 2);
    }

    private static RouteTable table(long version, RequestRoute... routes) {
        return new RouteTable(version, List.of(routes), Map.of(), new RequestLimits(1, 1, 1, 1));
    }

    private static WeightedService service(String name, int weight) {
        return new WeightedService(name, weight);
    }

    private String matchedName(String host, String path) {
        return routes.match(host, path).map(RequestRoute::name).orElse("none");
    }

    @Test
    void longestPrefixOfTheVirtualHostMatches() {
        routes.updateIfNewer(table(
                1,
                route("all", "/", service("a", 1)),
                route("read", "/read/", service("a", 1)),
                route("deep", "/read/deep/", service("a", 1))));
        assertThat(matchedName("book.example", "/read/deep/x")).isEqualTo("deep");
        assertThat(matchedName("BOOK.example:8080", "/read/deep")).isEqualTo("read");
        assertThat(matchedName("book.example", "/reader/x")).isEqualTo("all");
        assertThat(matchedName("other.example", "/read/x")).isEqualTo("none");
        assertThat(matchedName("book.example", "*")).isEqualTo("none");
    }

    @Test
    void versionNeverDecreases() {
        assertThat(routes.version()).isEqualTo(-1);
        assertThat(routes.updateIfNewer(table(5, route("new", "/", service("a", 1)))))
                .isTrue();
        assertThat(routes.updateIfNewer(table(5, route("again", "/", service("a", 1)))))
                .isFalse();
        assertThat(routes.updateIfNewer(table(4, route("old", "/", service("a", 1)))))
                .isFalse();
        assertThat(matchedName("book.example", "/x")).isEqualTo("new");
    }

    @Test
    void weightsHoldOverFewRequestsOnEveryHost() {
        RequestRoute split = route("split", "/", service("a", 90), service("b", 10));
        Map<String, Integer> counts = new HashMap<>();
        for (int host = 0; host < 16; host++) {
            ActiveRoutes ofHost = new ActiveRoutes();
            ofHost.updateIfNewer(table(1, split));
            for (int request = 0; request < 20; request++) {
                counts.merge(ofHost.chooseService(split, random), 1, Integer::sum);
            }
        }
        assertThat(counts.get("b") / 320.0).isWithin(0.05).of(0.1);
    }

    @Test
    void newWeightsApplyToTheNextRequest() {
        RequestRoute before = route("split", "/", service("a", 100), service("b", 0));
        RequestRoute after = route("split", "/", service("a", 0), service("b", 100));
        routes.updateIfNewer(table(1, before));
        assertThat(routes.chooseService(before, random)).isEqualTo("a");
        routes.updateIfNewer(table(2, after));
        for (int request = 0; request < 10; request++) {
            assertThat(routes.chooseService(after, random)).isEqualTo("b");
        }
    }
}
