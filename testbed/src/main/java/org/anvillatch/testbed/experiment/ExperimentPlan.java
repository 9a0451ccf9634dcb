package org.anvillatch.testbed.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.site.NodeProcess;
import org.anvillatch.testbed.site.RunningSite;

/**
 * A named experiment: the offered load over time, and a trigger in the middle of the run. Immutable and thread
 * safe.
 */
enum ExperimentPlan {
    /** Moderate load without a trigger; shows the latency that the system adds to a call. */
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
    /** Half of the bottleneck's endpoints crash and are restarted cold. */
    COLD_START("half of the bottleneck's workers are cold", 0.7, 0.7) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) throws Exception {
            List<RunningSite.Host> hosts = hostsOf(site, bottleneck);
            for (RunningSite.Host host : hosts.subList(0, hosts.size() / 2)) {
                host.endpoint().crash();
                RunningSite.await(
                        "the crashed endpoint's port to be free",
                        () -> host.endpoint().isStopped());
                host.endpoint().start();
                host.endpoint().simulateColdStart(COLD_PERIOD_MILLIS);
                host.agent().start();
            }
        }
    },
    /** One endpoint of each service announces three times its slots and reports no load. */
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
    /** The platform's log service is down. */
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
    /** The node of one host of each service is stopped gracefully, then restarted. */
    ROLLING_REPLACE("one host of each service is replaced", 0.6, 0.6) {
        @Override
        void startTrigger(RunningSite site, String bottleneck) throws Exception {
            for (RunningSite.Host host : site.hosts()) {
                if (host.name().endsWith("-0") && host.node().isAlive()) {
                    host.node().send(NodeProcess.Signal.TERM);
                    host.node().awaitExit(STOP_TIMEOUT_SECONDS);
                    host.node().start();
                }
            }
        }
    };

    private static final double SLOW_FACTOR = 5;
    private static final double MISREPORT_FACTOR = 3;
    private static final long COLD_PERIOD_MILLIS = 2_000;
    private static final long STOP_TIMEOUT_SECONDS = 20;

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
        return atSeconds -> capacity * (atSeconds >= triggerStart && atSeconds < triggerEnd ? triggerLoad : baseLoad);
    }

    /** Returns the capacity during the trigger as a fraction of the normal capacity. */
    double capacityFactor() {
        return 1;
    }

    /** Starts the trigger. */
    void startTrigger(RunningSite site, String bottleneck) throws Exception {
        // By default, the trigger is only the change of the offered load.
    }

    /** Ends the trigger. */
    void endTrigger(RunningSite site, String bottleneck) throws Exception {
        // By default, the trigger is only the change of the offered load.
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
