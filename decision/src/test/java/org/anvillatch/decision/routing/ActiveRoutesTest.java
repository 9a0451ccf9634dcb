package org.anvillatch.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.Team;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests matching, versions and weights of routes. */
class ActiveRoutesTest {
    private final ActiveRoutes routes = new ActiveRoutes();
    private final SplittableRandom random = new SplittableRandom(3);

    private static RequestRoute route(String name, String prefix, WeightedService... services) {
        return new RequestRoute(name, "book.example", prefix, List.of(services), true, 800, 500, 14, 2, false);
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

    private static RouteTable tableWithTeams(long version, List<Team> teams) {
        return new RouteTable(version, List.of(), Map.of(), new RequestLimits(1, 1, 1, 1), teams);
    }

    /** Guards against a host of an earlier version, which forwards tables without their teams, that disables the keys. */
    @Test
    void tableThatLacksTheTeamsReplacesNoTableWithTeams() {
        Team blue = new Team("blue", Team.NO_IMPORTANCE, 0, 0, List.of(ApiKeyHash.of("a")));
        assertThat(routes.updateIfNewer(tableWithTeams(1, null))).isTrue();
        assertThat(routes.updateIfNewer(tableWithTeams(1, List.of(blue)))).isTrue();
        assertThat(routes.updateIfNewer(tableWithTeams(2, null))).isFalse();
        assertThat(routes.teams().findByKey(ApiKeyHash.of("a"))).hasValue(blue);
        assertThat(routes.teams().findByKey(ApiKeyHash.of("b"))).isEmpty();
        assertThat(routes.updateIfNewer(tableWithTeams(3, List.of()))).isTrue();
        assertThat(routes.teams().isEmpty()).isTrue();
    }

    @Test
    void importanceOfTheTeamGoesBeforeThatOfTheRoute() {
        RequestRoute low = new RequestRoute("low", "h", "/", List.of(service("a", 1)), true, 1, 1, 2, 1, false);
        RequestRoute high = new RequestRoute("high", "h", "/h/", List.of(service("a", 1)), true, 1, 1, 9, 1, false);
        List<Team> teams = List.of(new Team("gold", 15, 0, 0, List.of()), new Team("iron", 3, 0, 0, List.of()));
        routes.updateIfNewer(new RouteTable(1, List.of(low, high), Map.of(), new RequestLimits(1, 1, 1, 1), teams));
        assertThat(routes.importanceOf("iron", high.importance()))
                .isGreaterThan(routes.importanceOf("iron", low.importance()));
        assertThat(routes.importanceOf("gold", low.importance()))
                .isGreaterThan(routes.importanceOf("iron", high.importance()));
        assertThat(routes.importanceOf("gold", high.importance()))
                .isGreaterThan(routes.importanceOf("gold", low.importance()));
        assertThat(routes.importancesInUse()).hasSize(4);
    }

    /** Guards against memory that grows with each replaced key, and against a key that stays revoked when it returns. */
    @Test
    void revokedKeysAreBoundedAndEndWhenTheKeyReturns() {
        String first = ApiKeyHash.of("0");
        for (int version = 0; version <= 30; version++) {
            List<String> hashes = new ArrayList<>();
            for (int key = 0; key < 1_000; key++) {
                hashes.add(ApiKeyHash.of(version * 1_000 + key + ""));
            }
            routes.updateIfNewer(tableWithTeams(version, List.of(new Team("blue", Team.NO_IMPORTANCE, 0, 0, hashes))));
        }
        String late = ApiKeyHash.of("29000");
        assertThat(routes.revocationOf(ApiKeyHash.idOf(first), "blue")).isNull();
        assertThat(routes.revocationOf(ApiKeyHash.idOf(late), "blue")).isEqualTo(RefusalReason.UNAUTHENTICATED);
        Team blue = new Team("blue", Team.NO_IMPORTANCE, 0, 0, List.of(late));
        routes.updateIfNewer(tableWithTeams(31, List.of(blue)));
        assertThat(routes.revocationOf(ApiKeyHash.idOf(late), "blue")).isNull();
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
