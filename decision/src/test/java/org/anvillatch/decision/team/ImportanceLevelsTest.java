package org.anvillatch.decision.team;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.Range;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the order of requests by team and route. */
class ImportanceLevelsTest {
    /** Guards against a changed order in deployments whose teams have no priority. */
    @Test
    void withoutTeamImportanceTheRouteCountsUnchanged() {
        ImportanceLevels levels = new ImportanceLevels(Set.of(Team.NO_IMPORTANCE), Set.of(3, 7, 15));
        assertThat(levels.of(Team.NO_IMPORTANCE, 7)).isEqualTo(7);
        assertThat(levels.inUse()).containsExactly(3, 7, 15);
        assertThat(new ImportanceLevels(Set.of(), Set.of(3)).of(Team.NO_IMPORTANCE, 3))
                .isEqualTo(3);
    }

    @Test
    void fewCombinationsHaveALevelEach() {
        ImportanceLevels levels = new ImportanceLevels(Set.of(14, 15, Team.NO_IMPORTANCE), Set.of(12, 15));
        int[] ascending = {
            levels.of(Team.NO_IMPORTANCE, 12),
            levels.of(14, 12),
            levels.of(14, 15),
            levels.of(15, 12),
            levels.of(15, 15)
        };
        assertThat(ascending).asList().isInStrictOrder();
        assertThat(levels.of(Team.NO_IMPORTANCE, 15)).isEqualTo(levels.of(15, 15));
    }

    /** Guards against an unimportant team that goes before an important one because its routes are important. */
    @Property(tries = 300, seed = "11")
    void teamsGoBeforeRoutesForAnyNumberOfCombinations(
            @ForAll @Size(min = 1, max = 16) Set<@IntRange(min = 0, max = 15) Integer> teams,
            @ForAll @Size(min = 1, max = 16) Set<@IntRange(min = 0, max = 15) Integer> routes,
            @ForAll boolean someWithout) {
        Set<Integer> all = new HashSet<>(teams);
        if (someWithout) {
            all.add(Team.NO_IMPORTANCE);
        }
        ImportanceLevels levels = new ImportanceLevels(all, routes);
        for (int team : all) {
            for (int route : routes) {
                int level = levels.of(team, route);
                assertThat(level).isIn(Range.closed(0, 15));
                int first = team == Team.NO_IMPORTANCE ? route : team;
                for (int otherTeam : all) {
                    for (int otherRoute : routes) {
                        int otherFirst = otherTeam == Team.NO_IMPORTANCE ? otherRoute : otherTeam;
                        int other = levels.of(otherTeam, otherRoute);
                        if (first < otherFirst) {
                            assertThat(level).isLessThan(other);
                        } else if (first == otherFirst && route <= otherRoute) {
                            assertThat(level).isAtMost(other);
                        }
                    }
                }
            }
        }
    }
}
