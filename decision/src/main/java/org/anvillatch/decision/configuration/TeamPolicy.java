package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * What operators have declared about one team. Immutable and thread safe.
 *
 * @param importance name from the order of importances, null if that of the operation alone counts
 * @param ratePerSecond number of requests a second that all hosts together may accept, 0 if there is no limit
 * @param burst number of requests that may exceed the rate at once
 * @param keyHashes hashes of the team's keys, see {@link org.anvillatch.decision.team.ApiKeyHash}
 */
public record TeamPolicy(String importance, int ratePerSecond, int burst, List<String> keyHashes) {
    /** Copies the hashes. */
    public TeamPolicy {
        keyHashes = List.copyOf(keyHashes);
    }
}
