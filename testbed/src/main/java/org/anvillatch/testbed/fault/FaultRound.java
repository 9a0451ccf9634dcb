package org.anvillatch.testbed.fault;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;

import org.anvillatch.testbed.endpoint.EndpointStandIn;
import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.load.NodeTarget;
import org.anvillatch.testbed.site.RunningSite;

/**
 * One round: load on a running site, faults that begin and end under it, and the checker's verdict. Not thread safe: used
 * once.
 */
public final class FaultRound {
    private static final int CALLER_RETRIES = 2;
    private static final long CALLER_RETRY_PAUSE_MILLIS = 150;

    private final RunningSite site;
    private final Parameters parameters;

    /**
     * What happens in a round.
     *
     * @param name name of the round, part of every request's identity
     * @param seed seed of arrivals
     * @param seconds duration of arrivals
     * @param rate arrivals a second
     * @param faults what goes wrong, from one quarter to three quarters of the round
     * @param poison whether a request that crashes endpoints is sent
     * @param callerKeyRatio share of requests whose idempotency key the caller makes itself
     */
    public record Parameters(
            String name,
            long seed,
            double seconds,
            double rate,
            List<PlacedFault> faults,
            boolean poison,
            double callerKeyRatio) {}

    /**
     * A fault at a host.
     *
     * @param fault the fault
     * @param host name of the host
     */
    public record PlacedFault(Fault fault, String host) {}

    /**
     * Creates a round.
     *
     * @param site a site that runs, with proxies
     * @param parameters what happens
     */
    public FaultRound(RunningSite site, Parameters parameters) {
        this.site = site;
        this.parameters = parameters;
    }

    /**
     * Runs the round and leaves the site complete again.
     *
     * @return the verdict over this round's requests
     * @throws Exception if a fault cannot be injected or the site does not become complete
     */
    public HistoryChecker.Verdict run() throws Exception {
        int before = site.history().events().size();
        AtomicReference<Exception> failure = new AtomicReference<>();
        Thread trouble = new Thread(() -> injectFaults(failure), "faults");
        Callers callers = new Callers(
                site.spec(),
                site.sender(),
                new NodeTarget(this::callerAddresses),
                site.timer(),
                site.history(),
                new Callers.Behaviour(
                        parameters.name(),
                        parameters.seed(),
                        CALLER_RETRIES,
                        CALLER_RETRY_PAUSE_MILLIS,
                        0,
                        parameters.callerKeyRatio()),
                ending -> {});
        trouble.start();
        if (parameters.poison()) {
            byte[] body = (EndpointStandIn.POISON_PREFIX + " " + parameters.name()).getBytes(StandardCharsets.UTF_8);
            callers.sendOne(site.spec().kinds().get(0), body, parameters.seed());
        }
        callers.run(parameters.seconds(), at -> parameters.rate());
        trouble.join();
        if (failure.get() != null) {
            throw failure.get();
        }
        List<HistoryEvent> all = site.history().events();
        List<HistoryEvent> events = all.subList(before, all.size());
        restartCrashedEndpoints();
        site.awaitReady();
        return new HistoryChecker(events, site.spec().retryBound()).check();
    }

    private List<String> callerAddresses() {
        return site.hosts().stream().map(host -> host.node().callerAddress()).toList();
    }

    private void injectFaults(AtomicReference<Exception> failure) {
        try {
            long quarter = (long) (parameters.seconds() * 250);
            Thread.sleep(quarter);
            for (PlacedFault placed : parameters.faults()) {
                placed.fault().inject(site, site.host(placed.host()));
            }
            Thread.sleep(2 * quarter);
            for (PlacedFault placed : parameters.faults()) {
                placed.fault().recover(site, site.host(placed.host()));
            }
        } catch (Exception problem) {
            failure.set(problem);
        }
    }

    private void restartCrashedEndpoints() throws Exception {
        for (RunningSite.Host host : site.hosts()) {
            if (host.endpoint().isCrashed()) {
                Fault.restartEndpoint(host);
            }
        }
    }

    /**
     * Draws two faults at two hosts.
     *
     * @param site the site
     * @param random source of randomness
     * @return the faults
     */
    public static List<PlacedFault> drawRandomPair(RunningSite site, SplittableRandom random) {
        Fault[] faults = Fault.values();
        List<RunningSite.Host> hosts = site.hosts();
        int first = random.nextInt(hosts.size());
        int second = (first + 1 + random.nextInt(hosts.size() - 1)) % hosts.size();
        return List.of(
                new PlacedFault(
                        faults[random.nextInt(faults.length)], hosts.get(first).name()),
                new PlacedFault(
                        faults[random.nextInt(faults.length)], hosts.get(second).name()));
    }
}
