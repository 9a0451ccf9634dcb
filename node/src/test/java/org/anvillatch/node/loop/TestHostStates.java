package org.anvillatch.node.loop;

import java.util.List;
import java.util.SplittableRandom;

import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.configuration.ConfigurationReducer;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.routing.ActiveRoutes;
import org.anvillatch.decision.routing.EndpointSelector;

/** Creates the decision state of hosts for tests. Stateless and thread safe. */
public final class TestHostStates {
    private TestHostStates() {}

    /**
     * Creates the state of a host that knows no other host.
     *
     * @param self the host
     * @return the state, with all admission features and a fixed seed
     */
    public static HostState create(Member self) {
        Membership membership = new Membership(self, List.of());
        return new HostState(
                membership,
                new EndpointSelector(membership),
                new Gatekeeper(AdmissionFeatures.ALL),
                new IdempotencyLedger(self.host(), 1),
                new CrashSuspects(),
                new ConfigurationReducer(),
                new ActiveRoutes(),
                new SplittableRandom(1));
    }
}
