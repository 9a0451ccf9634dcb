package org.anvillatch.decision.routing;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.team.ImportanceLevels;
import org.anvillatch.decision.team.RevokedKeys;
import org.anvillatch.decision.team.Team;
import org.anvillatch.decision.team.TeamDirectory;

/**
 * The routes and teams that a host currently applies.
 *
 * <p>Invariants: the version never decreases during the lifetime of the process; a table that names no teams because
 * its sender does not know them never replaces one that does. Not thread safe: owned by the host's
 * decision loop.
 */
public final class ActiveRoutes {
    private final WeightedRoundRobin split = new WeightedRoundRobin();
    private final RevokedKeys revokedKeys = new RevokedKeys();
    private TeamDirectory teams = TeamDirectory.EMPTY;
    private ImportanceLevels levels = new ImportanceLevels(Set.of(), Set.of());
    private RouteTable table;
    private RouteIndex index;

    /**
     * Replaces the current table by a newer one.
     *
     * @param candidate table that replaces the current one if its version is larger, or if it has the same version and
     *     names the teams that the current one lacks
     * @return true if the current table was replaced
     */
    public boolean updateIfNewer(RouteTable candidate) {
        if (table != null && !replaces(candidate)) {
            return false;
        }
        table = candidate;
        index = new RouteIndex(candidate);
        teams = candidate.teams() == null ? TeamDirectory.EMPTY : new TeamDirectory(candidate.teams());
        revokedKeys.update(teams);
        levels = computeLevels(candidate);
        split.retain(candidate);
        return true;
    }

    private static ImportanceLevels computeLevels(RouteTable table) {
        Set<Integer> teamImportances = new HashSet<>();
        if (table.teams() != null) {
            table.teams().forEach(team -> teamImportances.add(team.importance()));
        }
        if (table.routes().stream().anyMatch(RequestRoute::isPublic)) {
            teamImportances.add(Team.NO_IMPORTANCE);
        }
        return new ImportanceLevels(
                teamImportances,
                table.routes().stream().map(RequestRoute::importance).collect(Collectors.toSet()));
    }

    /**
     * Replaces the teams of a host that has a configuration in the operators' language instead of a route table.
     *
     * @param next the declared teams
     * @param operationImportances importances of the declared operations
     */
    public void replaceTeams(List<Team> next, Set<Integer> operationImportances) {
        teams = new TeamDirectory(next);
        revokedKeys.update(teams);
        levels = new ImportanceLevels(
                next.stream().map(Team::importance).collect(Collectors.toSet()), operationImportances);
    }

    /**
     * Returns the importance of a root request: ordered by the importance of its team, then by that of its route.
     *
     * @param team name of the request's team, empty if it has none
     * @param routeImportance importance of the request's route or operation
     * @return importance for {@link org.anvillatch.decision.model.Rank}
     */
    public int importanceOf(String team, int routeImportance) {
        int teamImportance = teams.findByName(team).map(Team::importance).orElse(Team.NO_IMPORTANCE);
        return levels.of(teamImportance, routeImportance);
    }

    /**
     * Returns the importances that root requests can have.
     *
     * @return each importance at least once
     */
    public Collection<Integer> importancesInUse() {
        return levels.inUse();
    }

    private boolean replaces(RouteTable candidate) {
        if (candidate.teams() == null) {
            return candidate.version() > table.version() && teams.isEmpty();
        }
        return candidate.version() > table.version() || candidate.version() == table.version() && table.teams() == null;
    }

    /**
     * Returns the teams of the current table.
     *
     * @return the teams, never null
     */
    public TeamDirectory teams() {
        return teams;
    }

    /**
     * Returns the reason why a root request that has not started must be refused because its key was revoked.
     *
     * @param keyId id of the key that the request carried, empty if it carried none
     * @param team team to which the key belonged when the request was accepted
     * @return the reason, or null if the key was not revoked
     */
    public RefusalReason revocationOf(String keyId, String team) {
        return revokedKeys.refusalOf(keyId, team);
    }

    /**
     * Returns the current table.
     *
     * @return the table, or empty if none was received yet
     */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Returns the version of the current table.
     *
     * @return the version, or -1 if no table was received yet
     */
    public long version() {
        return table == null ? -1 : table.version();
    }

    /**
     * Finds the route of a request.
     *
     * @param host host of the request
     * @param path path without its query
     * @return the route, or empty if no current route matches
     */
    public Optional<RequestRoute> match(String host, String path) {
        return index == null ? Optional.empty() : index.match(host, path);
    }

    /**
     * Chooses the service for the next request of a route.
     *
     * @param route the route
     * @param random source of randomness for the start position
     * @return name of the service
     */
    public String chooseService(RequestRoute route, RandomGenerator random) {
        return split.choose(route, random);
    }
}
