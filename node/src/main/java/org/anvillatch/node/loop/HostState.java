package org.anvillatch.node.loop;

import java.util.SplittableRandom;
import java.util.TreeSet;

import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationReducer;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.routing.ActiveRoutes;
import org.anvillatch.decision.routing.EndpointSelector;

/**
 * Decision state of one host, and the randomness that decisions are given.
 *
 * <p>Invariant: everything here is touched only by tasks of the {@link DecisionLoop}. Not thread safe.
 *
 * @param membership view of all hosts
 * @param selector choice of endpoints
 * @param gatekeeper admission at this host's endpoint
 * @param ledger idempotency keys issued by this host
 * @param suspects requests that crash endpoints
 * @param configuration configuration in force
 * @param routes routes of requests that are passed on unread
 * @param random seeded source of randomness
 */
public record HostState(
        Membership membership,
        EndpointSelector selector,
        Gatekeeper gatekeeper,
        IdempotencyLedger ledger,
        CrashSuspects suspects,
        ConfigurationReducer configuration,
        ActiveRoutes routes,
        SplittableRandom random) {
    /**
     * Tells whether a request must not run, by observation or by an operator's word.
     *
     * @param fingerprint operation and body of the request
     * @return true if it is quarantined
     */
    public boolean isQuarantined(String fingerprint) {
        return suspects.isQuarantined(fingerprint)
                || configuration.current().quarantined().contains(fingerprint);
    }

    /**
     * Returns the hosts and failure domains that operators have drained.
     *
     * @return names
     */
    public TreeSet<String> drained() {
        Configuration current = configuration.current();
        TreeSet<String> drained = new TreeSet<>(current.drainedHosts());
        drained.addAll(current.drainedDomains());
        return drained;
    }
}
