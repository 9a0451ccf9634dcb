package org.anvillatch.decision.team;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.anvillatch.decision.model.Rank;

/**
 * Maps the importance of a team and that of a route to one importance of {@link Rank}, ordered by team and then by
 * route. If there are more combinations than importances, routes of one team importance share levels; two team
 * importances never do. While no team has an importance, that of the route is used unchanged.
 *
 * <p>All hosts that apply the same route table compute the same levels. Immutable and thread safe.
 */
public final class ImportanceLevels {
    private final Map<Combination, Integer> levels = new HashMap<>();

    /**
     * The importances of one request. Immutable.
     *
     * @param first importance of the team, or that of the route if the team has none
     * @param second importance of the route
     */
    private record Combination(int first, int second) {}

    /**
     * Computes the levels.
     *
     * @param teamImportances importances of the teams; {@link Team#NO_IMPORTANCE} if some requests have none
     * @param routeImportances importances of the routes
     */
    public ImportanceLevels(Set<Integer> teamImportances, Set<Integer> routeImportances) {
        if (teamImportances.stream().allMatch(importance -> importance == Team.NO_IMPORTANCE)) {
            routeImportances.forEach(importance -> levels.put(new Combination(importance, importance), importance));
            return;
        }
        SortedMap<Integer, List<Combination>> byFirst = combine(teamImportances, routeImportances);
        Map<Integer, Integer> sizes = distributeLevels(byFirst);
        int level = Rank.IMPORTANCE_LEVELS
                - sizes.values().stream().mapToInt(Integer::intValue).sum();
        for (Map.Entry<Integer, List<Combination>> entry : byFirst.entrySet()) {
            int size = sizes.get(entry.getKey());
            List<Combination> combinations = entry.getValue();
            for (int index = 0; index < combinations.size(); index++) {
                levels.put(combinations.get(index), level + index * size / combinations.size());
            }
            level += size;
        }
    }

    private static SortedMap<Integer, List<Combination>> combine(Set<Integer> teams, Set<Integer> routes) {
        SortedMap<Integer, List<Combination>> byFirst = new TreeMap<>();
        for (int route : routes.stream().sorted().toList()) {
            for (int team : teams) {
                int first = team == Team.NO_IMPORTANCE ? route : team;
                Combination combination = new Combination(first, route);
                List<Combination> ofFirst = byFirst.computeIfAbsent(first, key -> new ArrayList<>());
                if (!ofFirst.contains(combination)) {
                    ofFirst.add(combination);
                }
            }
        }
        return byFirst;
    }

    /**
     * Gives each first importance one level, and each further level to the one with the most routes for a level; among
     * equal ones to the most important.
     */
    private static Map<Integer, Integer> distributeLevels(SortedMap<Integer, List<Combination>> byFirst) {
        Map<Integer, Integer> sizes = new HashMap<>();
        byFirst.keySet().forEach(first -> sizes.put(first, 1));
        for (int left = Rank.IMPORTANCE_LEVELS - byFirst.size(); left > 0; left--) {
            int most = -1;
            double mostRoutes = 1;
            for (Map.Entry<Integer, List<Combination>> entry : byFirst.entrySet()) {
                double routes = (double) entry.getValue().size() / sizes.get(entry.getKey());
                if (routes > 1 && routes >= mostRoutes) {
                    most = entry.getKey();
                    mostRoutes = routes;
                }
            }
            if (most < 0) {
                break;
            }
            sizes.merge(most, 1, Integer::sum);
        }
        return sizes;
    }

    /**
     * Returns the importance of a request.
     *
     * @param teamImportance importance of its team, or {@link Team#NO_IMPORTANCE}
     * @param routeImportance importance of its route
     * @return importance for {@link Rank}; that of the route if the combination is not in the table
     */
    public int of(int teamImportance, int routeImportance) {
        int first = teamImportance == Team.NO_IMPORTANCE ? routeImportance : teamImportance;
        return levels.getOrDefault(new Combination(first, routeImportance), routeImportance);
    }

    /**
     * Returns the importances that requests can have.
     *
     * @return each importance at least once
     */
    public Collection<Integer> inUse() {
        return levels.values();
    }
}
