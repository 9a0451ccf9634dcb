package org.anvillatch.node.team;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.team.Team;

/**
 * Counts the root requests of each team.
 *
 * <p>Invariant: at most {@link #MAX_NAMED_TEAMS} teams have counters of their own, those with the largest rates; all
 * others, and those that lost their counters, are counted together. Owned by the decision loop: all methods are called
 * on it.
 */
final class TeamMetrics {
    /** Maximum number of teams with counters of their own, which bounds the number of metrics. */
    static final int MAX_NAMED_TEAMS = 20;

    private static final String PREFIX = "teams.";

    private final MetricRegistry metrics;
    private final Map<String, Counters> named = new HashMap<>();

    private record Counters(Counter requests, Counter refused) {}

    /**
     * Creates the counters.
     *
     * @param metrics registry for the counters
     */
    TeamMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Chooses the teams that have counters of their own.
     *
     * @param teams all current teams
     */
    void update(Collection<Team> teams) {
        // Names that differ only in characters that metric names cannot have would be the same metric.
        Map<String, String> chosen = new TreeMap<>();
        teams.stream()
                .sorted(Comparator.comparingDouble(TeamMetrics::rate).reversed().thenComparing(Team::name))
                .limit(MAX_NAMED_TEAMS)
                .forEach(team -> chosen.putIfAbsent(metricName(team.name()), team.name()));
        for (String team : Map.copyOf(named).keySet()) {
            if (!team.equals(chosen.get(metricName(team)))) {
                mergeIntoOthers(team);
            }
        }
        chosen.forEach((metric, team) -> named.computeIfAbsent(team, name -> counters("team_" + metric)));
    }

    private static double rate(Team team) {
        return team.hasAllowance() ? team.ratePerSecond() : Double.POSITIVE_INFINITY;
    }

    private static String metricName(String team) {
        return team.replaceAll("[^A-Za-z0-9]", "_");
    }

    private void mergeIntoOthers(String team) {
        Counters removed = named.remove(team);
        others().requests().inc(removed.requests().getCount());
        others().refused().inc(removed.refused().getCount());
        metrics.remove(PREFIX + "requests.team_" + metricName(team));
        metrics.remove(PREFIX + "refused.team_" + metricName(team));
    }

    private Counters counters(String name) {
        return new Counters(metrics.counter(PREFIX + "requests." + name), metrics.counter(PREFIX + "refused." + name));
    }

    private Counters others() {
        return counters("others");
    }

    private Counters countersOf(String team) {
        Counters own = named.get(team);
        return own == null ? others() : own;
    }

    /**
     * Counts a root request.
     *
     * @param team name of its team
     */
    void recordRequest(String team) {
        countersOf(team).requests().inc();
    }

    /**
     * Counts a root request that was refused and did not run.
     *
     * @param team name of its team
     */
    void recordRefusal(String team) {
        countersOf(team).refused().inc();
    }

    /** Counts a request without a valid key. */
    void recordUnauthenticated() {
        metrics.counter(PREFIX + "unauthenticated").inc();
    }
}
