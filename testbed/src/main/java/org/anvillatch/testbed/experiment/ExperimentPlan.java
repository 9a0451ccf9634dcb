package org.anvillatch.testbed.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.site.NodeProcess;
import org.anvillatch.testbed.site.RunningSite;

/**
 * A named experiment: offered load over time and a trigger that begins and ends. Immutable and thread safe.
 */
enum ExperimentPlan {
    /** Moderate load, no trigger: what the system adds to a call. */
    STEADY("added latency against direct calls", 0.4, 0.4),
    /** Offered load of twice the capacity. */
    SURGE_2X("offered load of twice the capacity", 0.7, 2),
    /** Offered load of four times the capacity. */
    SURGE_4X("offered load of four times the capacity", 0.7, 4),
    /** The bottleneck service becomes five times slower while callers retry. */
    SLOW_SERVICE("the deepest service is five times slower", 0.7, 0.7) {
        @Override
        double capacityFactor() {
            return 1 / SLOW_FACTOR;
        }

        @Override
        void startTrigger(RunningSite site, String bottleneck) {
            setSlowdown(site, bottleneck, SLOW_FACTOR);
        }

        @Override
        void endTrigger(RunningSite site, String bottleneck) {
            setSlowdown(site, bottleneck, 1);
        }
    },
    /** Half of the bottleneck's workers are replaced by cold ones. */
    COLD_START("half of the bottleneck's workers are cold", 0.7, 0.7) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) throws Exception {
            List<RunningSite.Host> workers = hostsOf(site, bottleneck);
            for (RunningSite.Host host : workers.subList(0, workers.size() / 2)) {
                host.endpoint().crash();
                RunningSite.await("the port to be free", () -> host.endpoint().isStopped());
                host.endpoint().start();
                host.endpoint().simulateColdStart(COLD_MILLIS);
                host.agent().start();
            }
        }
    },
    /** A quarter of all announcements promise three times the real slots, and report no load. */
    MISLEADING_LOAD("one worker of each service announces three times its slots", 0.7, 1.2) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) {
            for (RunningSite.Host host : site.hosts()) {
                if (host.name().endsWith("-0")) {
                    host.agent().setMisreportFactor(MISREPORT_FACTOR);
                    host.agent().start();
                }
            }
        }
    },
    /** The platform's log is down. */
    PLATFORM_DOWN("the platform's log is down", 0.7, 0.7) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) {
            site.log().setMode(LogStandIn.Mode.DOWN);
        }

        @Override
        void endTrigger(RunningSite site, String bottleneck) {
            site.log().setMode(LogStandIn.Mode.UP);
        }
    },
    /** One worker of each service is stopped gracefully and started again. */
    ROLLING_REPLACE("one host of each service is replaced", 0.6, 0.6) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) throws Exception {
            for (RunningSite.Host host : site.hosts()) {
                if (host.name().endsWith("-0") && host.node().isAlive()) {
                    host.node().send(NodeProcess.Signal.TERM);
                    host.node().awaitExit(STOP_SECONDS);
                    host.node().start();
                }
            }
        }
    };

    private static final double SLOW_FACTOR = 5;
    private static final double MISREPORT_FACTOR = 3;
    private static final long COLD_MILLIS = 2_000;
    private static final long STOP_SECONDS = 20;

    private final String description;
    private final double baseLoad;
    private final double triggerLoad;

    ExperimentPlan(String description, double load, double triggerLoad) {
        this.description = description;
        this.baseLoad = load;
        this.triggerLoad = triggerLoad;
    }

    String description() {
        return description;
    }

    DoubleUnaryOperator rate(double capacity, double triggerStart, double triggerEnd) {
        return at -> capacity * (at >= triggerStart && at < triggerEnd ? triggerLoad : baseLoad);
    }

    /** Capacity under the trigger as a part of the usual one. */
    double capacityFactor() {
        return 1;
    }

    /** Begins the trigger. */
    void startTrigger(RunningSite site, String bottleneck) throws Exception {
        // The change of the offered load is the whole trigger.
    }

    /** Ends the trigger. */
    void endTrigger(RunningSite site, String bottleneck) throws Exception {
        // The change of the offered load is the whole trigger.
    }

    private static List<RunningSite.Host> hostsOf(RunningSite site, String service) {
        return site.hosts().stream()
                .filter(host -> host.endpoint().service().name().equals(service))
                .toList();
    }

    private static void setSlowdown(RunningSite site, String service, double factor) {
        hostsOf(site, service).forEach(host -> host.endpoint().setSlowdown(factor));
    }

    static ExperimentPlan byName(String name) {
        for (ExperimentPlan plan : values()) {
            if (plan.label().equals(name)) {
                return plan;
            }
        }
        return null;
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
