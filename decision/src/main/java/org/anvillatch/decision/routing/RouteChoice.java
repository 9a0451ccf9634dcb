package org.anvillatch.decision.routing;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.RefusalReason;

/**
 * Result of a choice: either a host or the reason why there is none. Immutable and thread safe.
 *
 * @param host the chosen host, null if the call is refused
 * @param refusal why no host was chosen, null if one was
 * @param level lowest rank that the considered endpoints admit
 */
public record RouteChoice(Member host, RefusalReason refusal, int level) {
    /**
     * Tells whether a host was chosen.
     *
     * @return true if {@code host} is not null
     */
    public boolean isChosen() {
        return host != null;
    }
}
