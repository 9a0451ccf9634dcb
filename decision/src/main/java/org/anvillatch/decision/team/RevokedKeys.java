package org.anvillatch.decision.team;

import java.util.LinkedHashSet;
import java.util.Set;

import org.anvillatch.decision.model.RefusalReason;

/**
 * The keys that were taken from their teams while this process ran. A host that receives a request of another host may
 * know an older or a newer configuration than that host. It therefore refuses only keys that it has seen revoked, and
 * never keys that it does not know yet.
 *
 * <p>Not thread safe: owned by the host's decision loop.
 */
public final class RevokedKeys {
    /** Maximum number of keys that are remembered; a request that carries an older one has long expired. */
    static final int MAX_KEYS = 20_000;

    private final Set<TeamKey> revoked = new LinkedHashSet<>();
    private TeamDirectory current = TeamDirectory.EMPTY;

    private record TeamKey(String keyId, String team) {}

    /**
     * Replaces the current teams.
     *
     * @param next teams of a newer route table
     */
    public void update(TeamDirectory next) {
        current.forEachKey((keyId, team) -> {
            if (!team.equals(next.ownerOf(keyId))) {
                revoked.add(new TeamKey(keyId, team));
            }
        });
        revoked.removeIf(key -> key.team().equals(next.ownerOf(key.keyId())));
        while (revoked.size() > MAX_KEYS) {
            revoked.remove(revoked.iterator().next());
        }
        current = next;
    }

    /**
     * Returns the reason why a request that has not started must be refused.
     *
     * @param keyId id of the key that the request carried, empty if it carried none
     * @param team team to which the key belonged when the request was accepted
     * @return the reason, or null if the key was not revoked
     */
    public RefusalReason refusalOf(String keyId, String team) {
        if (revoked.isEmpty() || current.isEmpty() || !revoked.contains(new TeamKey(keyId, team))) {
            return null;
        }
        return current.ownerOf(keyId) == null ? RefusalReason.UNAUTHENTICATED : RefusalReason.TEAM_CHANGED;
    }
}
