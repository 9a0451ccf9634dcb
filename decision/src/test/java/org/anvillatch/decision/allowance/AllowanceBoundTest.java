package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against teams that run more than their allowance while hosts and the network fail. */
class AllowanceBoundTest {
    private static final long SECOND = AllowanceModel.SECOND;
    private static final long WINDOW = 5 * SECOND;
    private static final long DURATION = 25 * SECOND;

    /** Number of histories; 10,000 take half an hour: {@code -Dallowance.histories=10000}. */
    private static final int HISTORIES = Integer.getInteger("allowance.histories", 60);

    private static final int FIRST_SEED = Integer.getInteger("allowance.firstSeed", 1);

    @Test
    void noTeamExceedsItsBoundInAnyHistory() {
        double worst = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
            worst = Math.max(worst, largestFraction(seed));
        }
        System.out.printf("%d histories: at most %.3f of the bound in a window%n", HISTORIES, worst);
    }

    private static double largestFraction(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Allowance> allowances = new ArrayList<>();
        for (int team = 0; team < 4; team++) {
            double rate = Math.exp(random.nextDouble() * Math.log(456));
            allowances.add(new Allowance("team-" + team, rate, rate * random.nextInt(3)));
        }
        AllowanceModel model = new AllowanceModel(random.nextLong(), allowances);
        int hosts = 3 + random.nextInt(22);
        int domains = 2 + random.nextInt(3);
        for (int host = 0; host < hosts; host++) {
            AllowanceModel.SimulatedHost added = model.addHost("host-" + host, "domain-" + host % domains);
            model.later(random.nextLong(SECOND), added::start);
        }
        model.lossRate = random.nextInt(3) == 0 ? random.nextDouble() * 0.2 : 0;
        model.delayRate = random.nextInt(3) == 0 ? random.nextDouble() * 0.2 : 0;
        model.releaseRate = random.nextInt(3) * 0.05;
        scheduleFaults(model, random);
        for (Allowance allowance : allowances) {
            double factor = Math.exp(random.nextDouble() * Math.log(20)) / 2;
            model.sendRequests(allowance.team(), movingDemand(model, allowance.ratePerSecond() * factor));
        }
        model.run(DURATION);
        double worst = 0;
        for (Allowance allowance : allowances) {
            double bound = (allowance.ratePerSecond() * 5 + allowance.burst()) * 1.1 + 20;
            if (model.releaseRate == 0 && model.delayRate == 0) {
                // Without tokens that are given back late, not even the tolerance for waiting requests is used.
                bound = Math.min(bound, capacityOf(allowance, domains));
            }
            int most = mostInAnyWindow(model.decisions, allowance.team());
            assertWithMessage("seed %s, %s: requests in 5 s", seed, allowance)
                    .that((double) most)
                    .isAtMost(bound);
            worst = Math.max(worst, most / bound);
        }
        return worst;
    }

    private static double capacityOf(Allowance allowance, int domains) {
        SlotId slot = SlotId.slot(allowance.team(), 0);
        SlotId reserve = SlotId.reserve(allowance.team(), "domain-0");
        return allowance.slots() * (5 * allowance.rateOf(slot, domains) + allowance.capacityOf(slot, domains))
                + domains * (5 * allowance.rateOf(reserve, domains) + allowance.capacityOf(reserve, domains));
    }

    private static AllowanceModel.Demand movingDemand(AllowanceModel model, double perSecond) {
        Map<Long, Integer> focus = new HashMap<>();
        List<AllowanceModel.SimulatedHost> hosts = List.copyOf(model.hosts.values());
        return new AllowanceModel.Demand() {
            @Override
            public double perSecond(long micros) {
                return perSecond;
            }

            @Override
            public AllowanceModel.SimulatedHost chooseHost(long micros) {
                int first = focus.computeIfAbsent(micros / (2 * SECOND), key -> model.random.nextInt(hosts.size()));
                int width = 1 + first * 7 % hosts.size();
                return hosts.get((first + model.random.nextInt(width)) % hosts.size());
            }
        };
    }

    private static void scheduleFaults(AllowanceModel model, SplittableRandom random) {
        List<AllowanceModel.SimulatedHost> hosts = List.copyOf(model.hosts.values());
        for (int fault = 0; fault < 3 + random.nextInt(8); fault++) {
            long begin = 2 * SECOND + random.nextLong(DURATION - 4 * SECOND);
            long duration = random.nextLong(8 * SECOND);
            AllowanceModel.SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
            int kind = random.nextInt(7);
            int sides = 2 + random.nextInt(3);
            model.later(begin, () -> {
                switch (kind) {
                    case 0 -> {
                        host.crash();
                        model.later(duration / 2, host::start);
                    }
                    case 6 -> {
                        for (int restart = 0; restart < 4; restart++) {
                            hosts.forEach(each -> model.later(model.random.nextLong(duration + 1), each::start));
                        }
                    }
                    case 1 -> host.pause(duration);
                    case 2 -> model.partition(other -> other.domain.equals(host.domain) ? 1 : 0);
                    case 3 -> model.partition(other -> model.random.nextInt(sides));
                    case 4 -> {
                        if (host.isServing()) {
                            host.leave();
                            model.later(duration + SECOND, host::start);
                        }
                    }
                    default -> {
                        AllowanceModel.SimulatedHost joining =
                                model.addHost("new-" + model.random.nextInt(9), host.domain);
                        if (!joining.isServing()) {
                            joining.start();
                        }
                    }
                }
            });
            if (kind == 2 || kind == 3) {
                model.later(begin + duration, () -> model.partition(other -> 0));
            }
        }
    }

    private static int mostInAnyWindow(List<AllowanceModel.Decided> decisions, String team) {
        List<Long> times = decisions.stream()
                .filter(decided -> decided.granted() && decided.team().equals(team))
                .map(AllowanceModel.Decided::micros)
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > WINDOW) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
