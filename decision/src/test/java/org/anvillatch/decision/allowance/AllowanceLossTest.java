package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against refusals below the allowance. Load: 82 teams at 80 hosts in 4 failure domains, each with 0.3 to 1.1 of its
 * rate, that moves between the domains every 3 s; one large and one small team send eight times as much for 6 s.
 */
class AllowanceLossTest {
    private static final long SECOND = AllowanceModel.SECOND;
    private static final int HOSTS = 80;
    private static final int DOMAINS = 4;
    private static final int TEAMS = 82;

    /** Time until the buckets, which are empty at first, can be full; decisions before it are not counted. */
    private static final long WARM_UP = 6 * SECOND;

    private static final long DURATION = 26 * SECOND;

    private final Map<String, PerfectBucket> oracle = new HashMap<>();

    /** A bucket that knows all requests of a team at once. */
    private static final class PerfectBucket {
        private final Allowance allowance;
        private double tokens;
        private long refilled;
        private int granted;

        private PerfectBucket(Allowance allowance) {
            this.allowance = allowance;
            this.tokens = allowance.burst();
        }

        private void request(long micros) {
            tokens = Math.min(
                    Math.max(1, allowance.burst()), tokens + (micros - refilled) * allowance.ratePerSecond() / SECOND);
            refilled = micros;
            if (tokens >= 1) {
                tokens--;
                granted += micros > WARM_UP ? 1 : 0;
            }
        }
    }

    @Test
    void almostNothingIsRefusedBelowTheAllowanceInCalm() {
        AllowanceModel model = createModel(1);
        model.run(DURATION);
        assertWithMessage("share refused").that(lossOf(model, "calm")).isLessThan(0.02);
    }

    @Test
    void littleIsRefusedBelowTheAllowanceWhileADomainIsPartitioned() {
        AllowanceModel model = createModel(2);
        model.later(WARM_UP, () -> model.partition(host -> host.domain.equals("domain-1") ? 1 : 0));
        model.run(DURATION);
        assertWithMessage("share refused").that(lossOf(model, "partition")).isLessThan(0.1);
    }

    @Test
    void littleIsRefusedBelowTheAllowanceWhileHostsAreDown() {
        AllowanceModel model = createModel(3);
        for (int crash = 0; crash < 8; crash++) {
            AllowanceModel.SimulatedHost host = model.hosts.get("host-" + (crash * 11 + 3) % HOSTS);
            model.later(WARM_UP + crash * 2 * SECOND, host::crash);
            if (crash % 2 == 0) {
                model.later(WARM_UP + (crash * 2 + 4) * SECOND, host::start);
            }
        }
        model.run(DURATION);
        assertWithMessage("share refused").that(lossOf(model, "crashes")).isLessThan(0.04);
    }

    private AllowanceModel createModel(long seed) {
        List<Allowance> allowances = new ArrayList<>();
        for (int team = 0; team < TEAMS; team++) {
            double rate = team < 8 ? 456.0 / (1 + team) : team < 20 ? 40.0 - 2 * (team - 8) : 1 + team % 5;
            allowances.add(new Allowance("team-" + team, rate, team < 8 ? rate : 2 * rate));
        }
        AllowanceModel model = new AllowanceModel(seed, allowances);
        for (int host = 0; host < HOSTS; host++) {
            AllowanceModel.SimulatedHost added = model.addHost("host-" + host, "domain-" + host % DOMAINS);
            model.later(model.random.nextLong(SECOND / 2), added::start);
        }
        for (Allowance allowance : allowances) {
            double load = 0.3 + 0.8 * model.random.nextDouble();
            boolean surging =
                    allowance.team().equals("team-1") || allowance.team().equals("team-40");
            oracle.put(allowance.team(), new PerfectBucket(allowance));
            model.sendRequests(allowance.team(), demand(model, allowance, load, surging));
        }
        return model;
    }

    private AllowanceModel.Demand demand(AllowanceModel model, Allowance allowance, double load, boolean surging) {
        int offset = model.random.nextInt(DOMAINS);
        return new AllowanceModel.Demand() {
            @Override
            public double perSecond(long micros) {
                boolean surge = surging && micros > 12 * SECOND && micros < 18 * SECOND;
                return allowance.ratePerSecond() * load * (surge ? 8 : 1);
            }

            @Override
            public AllowanceModel.SimulatedHost chooseHost(long micros) {
                int busyDomain = (int) (offset + micros / (3 * SECOND)) % DOMAINS;
                int domain = model.random.nextInt(3) == 0 ? busyDomain : model.random.nextInt(DOMAINS);
                int number = model.random.nextInt(HOSTS / DOMAINS) * DOMAINS + domain;
                AllowanceModel.SimulatedHost host = model.hosts.get("host-" + number);
                if (host.isServing()) {
                    oracle.get(allowance.team()).request(micros);
                }
                return host;
            }
        };
    }

    private double lossOf(AllowanceModel model, String name) {
        Map<String, Integer> granted = new HashMap<>();
        for (AllowanceModel.Decided decided : model.decisions) {
            if (decided.granted() && decided.micros() > WARM_UP) {
                granted.merge(decided.team(), 1, Integer::sum);
            }
        }
        double due = 0;
        double lost = 0;
        double[] lostBySize = new double[3];
        double[] dueBySize = new double[3];
        for (PerfectBucket bucket : oracle.values()) {
            double teamLost = Math.max(0, bucket.granted - granted.getOrDefault(bucket.allowance.team(), 0));
            due += bucket.granted;
            lost += teamLost;
            int size = bucket.allowance.ratePerSecond() > 50 ? 0 : bucket.allowance.ratePerSecond() > 5 ? 1 : 2;
            lostBySize[size] += teamLost;
            dueBySize[size] += bucket.granted;
        }
        System.out.printf(
                "%s: %.4f of %.0f refused; large %.4f, medium %.4f, small %.4f; %.2f messages a second and host%n",
                name,
                lost / due,
                due,
                lostBySize[0] / dueBySize[0],
                lostBySize[1] / dueBySize[1],
                lostBySize[2] / dueBySize[2],
                model.messages / (DURATION / (double) SECOND) / HOSTS);
        return lost / due;
    }
}
