package org.anvillatch.decision.team;

import java.util.List;

/**
 * A team whose callers authenticate by API keys. Immutable and thread safe.
 *
 * @param name name of the team, not empty
 * @param importance order of refusal, 0 to 15; the highest importance is refused last; {@link #NO_IMPORTANCE} if the
 *     importance of the route alone counts
 * @param ratePerSecond number of requests a second that all hosts together may accept, 0 if there is no limit
 * @param burst number of requests that may exceed the rate at once
 * @param keyHashes hashes of the team's keys, see {@link ApiKeyHash}
 */
public record Team(String name, int importance, double ratePerSecond, double burst, List<String> keyHashes) {
    /** Importance of a team that has none of its own. */
    public static final int NO_IMPORTANCE = -1;

    /** Copies the hashes. */
    public Team {
        keyHashes = List.copyOf(keyHashes);
    }

    /**
     * Returns whether the number of the team's requests is limited.
     *
     * @return false if the team may send any number of requests
     */
    public boolean hasAllowance() {
        return ratePerSecond > 0;
    }
}
