package org.anvillatch.decision.routing;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.RefusalReason;

/**
 * Result of choosing a host for a call: either a host or the reason for the refusal. Immutable and thread safe.
 *
 * @param host the chosen host, null if the call is refused
 * @param refusal reason why no host was chosen, null if one was
 * @param level lowest shed level among the considered endpoints, 0 if there are none
 */
public record RouteChoice(Member host, RefusalReason refusal, int level) {
    /**
     * Returns whether a host was chosen.
     *
     * @return true if {@code host} is not null
     */
    public boolean isChosen() {
        return host != null;
    }
}
