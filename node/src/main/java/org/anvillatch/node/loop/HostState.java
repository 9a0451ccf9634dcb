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
 * Decision state of this host, and the source of randomness for decisions.
 *
 * <p>Invariant: accessed only by tasks of the {@link DecisionLoop}. Not thread safe.
 *
 * @param membership this host's view of all hosts
 * @param selector selects the endpoints for calls
 * @param gatekeeper admission control for this host's endpoint
 * @param ledger idempotency keys owned by this host
 * @param suspects requests suspected of crashing endpoints
 * @param configuration current configuration
 * @param routes active routes of requests that are forwarded unchanged
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
     * Returns whether a request must not run, because it crashed endpoints or because an operator quarantined it.
     *
     * @param fingerprint fingerprint of the request
     * @return true if it is quarantined
     */
    public boolean isQuarantined(String fingerprint) {
        return suspects.isQuarantined(fingerprint)
                || configuration.current().quarantined().contains(fingerprint);
    }

    /**
     * Returns the hosts and failure domains that operators have drained.
     *
     * @return names of hosts and failure domains
     */
    public TreeSet<String> drained() {
        Configuration current = configuration.current();
        TreeSet<String> drained = new TreeSet<>(current.drainedHosts());
        drained.addAll(current.drainedDomains());
        return drained;
    }
}
