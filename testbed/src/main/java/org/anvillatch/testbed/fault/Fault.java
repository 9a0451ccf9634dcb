package org.anvillatch.testbed.fault;

import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.proxy.FaultProxy;
import org.anvillatch.testbed.site.NodeProcess;
import org.anvillatch.testbed.site.RunningSite;

/**
 * A fault that is injected into a running site and removed again. Immutable and thread safe.
 */
public enum Fault {
    /** A node is killed, then started again. */
    KILL_NODE {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.KILL);
            host.node().awaitExit(STOP_TIMEOUT_SECONDS);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().start();
        }
    },
    /** A node is paused, then resumed. */
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
    /** A node is stopped gracefully, then started again. */
    REPLACE_NODE {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) throws Exception {
            host.node().send(NodeProcess.Signal.TERM);
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) throws Exception {
            int status = host.node().awaitExit(STOP_TIMEOUT_SECONDS);
            if (status != 0) {
                throw new IllegalStateException("node " + host.name() + " ended with status " + status);
            }
            host.node().start();
        }
    },
    /** An endpoint crashes, then is started again. */
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
    /** An endpoint deregisters, then announces itself again. */
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
    /** The log service rejects every request. */
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
    /** The log service executes appends, but their responses are lost. */
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
    /** The log service goes back to what it held when the fault began; offsets are given out again. */
    LOG_RESTORED {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            site.log().saveCopy();
        }

        @Override
        public void recover(RunningSite site, RunningSite.Host host) {
            site.log().restoreCopy();
        }
    },
    /** The peer port of one node accepts connections but receives and sends nothing. */
    CUT_HOST {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.BLACKHOLE, 0);
        }
    },
    /** Network partition between one failure domain and all others. */
    CUT_DOMAIN {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            String partitionedIpAddress = site.domainIpAddress(host.domain());
            for (RunningSite.Host other : site.hosts()) {
                boolean inDomain = other.domain().equals(host.domain());
                other.proxy()
                        .setFault(
                                FaultProxy.Fault.BLACKHOLE,
                                0,
                                source -> source.equals(partitionedIpAddress) != inDomain);
            }
        }
    },
    /** Peer requests reach a node, but its answers are lost. */
    DROP_ANSWERS {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.DROP_ANSWERS, 0);
        }
    },
    /** Answers of a node to its peers are truncated. */
    TRUNCATE_ANSWERS {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.TRUNCATE_ANSWERS, 0);
        }
    },
    /** Peer traffic to and from a node is held back until the fault ends, then delivered. */
    STALL {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.STALL, 0);
        }
    },
    /** Peer traffic to and from a node is delayed. */
    DELAY {
        @Override
        public void inject(RunningSite site, RunningSite.Host host) {
            host.proxy().setFault(FaultProxy.Fault.DELAY, DELAY_MICROS);
        }
    };

    private static final long STOP_TIMEOUT_SECONDS = 20;
    private static final long DELAY_MICROS = 40_000;

    /**
     * Injects the fault.
     *
     * @param site a running site with proxies
     * @param host the affected host
     * @throws Exception if a signal cannot be sent
     */
    public abstract void inject(RunningSite site, RunningSite.Host host) throws Exception;

    /**
     * Removes the fault and restarts what it stopped. By default, sets all proxies back to normal.
     *
     * @param site the site
     * @param host the affected host
     * @throws Exception if a process cannot be started
     */
    public void recover(RunningSite site, RunningSite.Host host) throws Exception {
        site.hosts().forEach(other -> other.proxy().setFault(FaultProxy.Fault.NONE, 0));
    }

    /**
     * Restarts a crashed endpoint and announces it again.
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
