package org.anvillatch.node.team;

import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.TeamDirectory;

/**
 * The team of a root request and the key by which it was identified. Immutable and thread safe.
 *
 * @param team name of the team, empty if the request belongs to none
 * @param keyId id of the request's key, empty if it belongs to no team
 */
public record TeamIdentity(String team, String keyId) {
    /** Identity of a request that belongs to no team. */
    public static final TeamIdentity NONE = new TeamIdentity("", "");

    /**
     * Identifies the team to which a key belongs.
     *
     * @param teams all teams
     * @param key key of the request
     * @return the identity, or null if the key is unknown
     */
    public static TeamIdentity find(TeamDirectory teams, String key) {
        String hash = ApiKeyHash.of(key);
        return teams.findByKey(hash)
                .map(team -> new TeamIdentity(team.name(), ApiKeyHash.idOf(hash)))
                .orElse(null);
    }
}
