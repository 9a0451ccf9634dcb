package org.anvillatch.testbed.fault;

import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.proxy.FaultProxy;
import org.anvillatch.testbed.site.NodeProcess;
import org.anvillatch.testbed.site.RunningSite;

/**
 * A fault of a running site that begins and ends. Immutable and thread safe.
 */
public enum Fault {
    /** A node is killed and started again. */
    KILL_NODE {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.KILL);
            host.node().awaitExit(STOP_SECONDS);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().start();
        }
    },
    /** A node is paused and resumed. */
    FREEZE_NODE {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.STOP);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.CONT);
        }
    },
    /** A node is stopped gracefully and started again. */
    REPLACE_NODE {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.TERM);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            int status = host.node().awaitExit(STOP_SECONDS);
            if (status != 0) {
                throw new IllegalStateException("node " + host.name() + " ended with status " + status);
            }
            host.node().start();
        }
    },
    /** An endpoint crashes and is started again. */
    CRASH_ENDPOINT {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.endpoint().crash();
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            restartEndpoint(host);
        }
    },
    /** An endpoint leaves and comes back. */
    LEAVE_ENDPOINT {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.agent().deregister();
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) {
            host.agent().start();
        }
    },
    /** The log refuses everything. */
    LOG_DOWN {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            site.log().setMode(LogStandIn.Mode.DOWN);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) {
            site.log().setMode(LogStandIn.Mode.UP);
        }
    },
    /** Appends take effect, but their answers are lost. */
    LOG_LOSES_ANSWERS {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            site.log().setMode(LogStandIn.Mode.LOSES_ANSWERS);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) {
            site.log().setMode(LogStandIn.Mode.UP);
        }
    },
    /** Nothing gets through to one node's peer port. */
    CUT_HOST {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.BLACKHOLE, 0);
        }
    },
    /** One failure domain and the others cannot reach each other. */
    CUT_DOMAIN {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            String cutOff = site.domainIpAddress(host.domain());
            for (RunningSite.Host other : site.hosts()) {
                boolean inside = other.domain().equals(host.domain());
                other.proxy().setFault(FaultProxy.Fault.BLACKHOLE, 0, source -> source.equals(cutOff) != inside);
            }
        }
    },
    /** Requests reach a node, but its answers are lost. */
    DROP_ANSWERS {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.DROP_ANSWERS, 0);
        }
    },
    /** Answers of a node are cut short. */
    TRUNCATE_ANSWERS {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.TRUNCATE_ANSWERS, 0);
        }
    },
    /** Everything to and from a node is held, then delivered late. */
    STALL {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.STALL, 0);
        }
    },
    /** Everything to and from a node is delayed. */
    DELAY {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.DELAY, DELAY_MICROS);
        }
    };

    private static final long STOP_SECONDS = 20;
    private static final long DELAY_MICROS = 40_000;

    /**
     * Begins the fault.
     *
     * @param site the site, with proxies
     * @param host the host that is concerned
     * @throws Exception if a signal cannot be sent
     */
    public abstract void inject(RunningSite site, RunningSite.Host host) throws Exception;

    /**
     * Ends the fault.
     *
     * @param site the site
     * @param host the host that was concerned
     * @throws Exception if a process cannot be started
     */
    public void recover(RunningSite site, RunningSite.Host host) throws Exception {
        site.hosts().forEach(other -> other.proxy().setFault(FaultProxy.Fault.NONE, 0));
    }

    /**
     * Starts a crashed endpoint again.
     *
     * @param host its host
     * @throws Exception if the endpoint cannot listen
     */
    static void restartEndpoint(RunningSite.Host host) throws Exception {
        RunningSite.await(
                "endpoint " + host.name() + " to stop", () -> host.endpoint().isStopped());
        host.endpoint().start();
        host.agent().start();
    }
}
