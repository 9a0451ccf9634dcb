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
 * One round of a fault experiment: applies load to a running site, injects and removes faults during the load, and
 * checks the recorded history. Not thread safe; each instance is used once.
 */
public final class FaultRound {
    private static final int CALLER_RETRIES = 2;
    private static final long CALLER_RETRY_PAUSE_MILLIS = 150;

    private final RunningSite site;
    private final Parameters parameters;

    /**
     * Parameters of a round.
     *
     * @param name name of the round, contained in every request's identity
     * @param seed random seed of the arrivals
     * @param seconds how long requests arrive, in seconds
     * @param rate arrivals per second
     * @param faults faults, injected after one quarter of the round and removed after three quarters
     * @param poison whether to send one request that crashes every endpoint that executes it
     * @param callerKeyRatio fraction of requests whose idempotency key the caller creates itself, 0 to 1
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
     * A fault and the host that it affects.
     *
     * @param fault the fault
     * @param host name of the host
     */
    public record PlacedFault(Fault fault, String host) {}

    /**
     * Creates a round.
     *
     * @param site a running site with proxies
     * @param parameters parameters of the round
     */
    public FaultRound(RunningSite site, Parameters parameters) {
        this.site = site;
        this.parameters = parameters;
    }

    /**
     * Runs the round and waits until the site is ready again.
     *
     * @return the result of the check of this round's events
     * @throws Exception if a fault cannot be injected or removed, or the site does not become ready
     */
    public HistoryChecker.Verdict run() throws Exception {
        int eventsBefore = site.history().events().size();
        AtomicReference<Exception> failure = new AtomicReference<>();
        Thread faultThread = new Thread(() -> injectFaults(failure), "faults");
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
                result -> {});
        faultThread.start();
        if (parameters.poison()) {
            byte[] body = (EndpointStandIn.POISON_PREFIX + " " + parameters.name()).getBytes(StandardCharsets.UTF_8);
            callers.sendOne(site.spec().kinds().get(0), body, parameters.seed());
        }
        callers.run(parameters.seconds(), atSeconds -> parameters.rate());
        faultThread.join();
        if (failure.get() != null) {
            throw failure.get();
        }
        List<HistoryEvent> allEvents = site.history().events();
        List<HistoryEvent> events = allEvents.subList(eventsBefore, allEvents.size());
        restartCrashedEndpoints();
        site.awaitReady();
        return new HistoryChecker(events, site.spec().retryBound()).check();
    }

    private List<String> callerAddresses() {
        return site.hosts().stream().map(host -> host.node().callerAddress()).toList();
    }

    private void injectFaults(AtomicReference<Exception> failure) {
        try {
            long quarterMillis = (long) (parameters.seconds() * 250);
            Thread.sleep(quarterMillis);
            for (PlacedFault placedFault : parameters.faults()) {
                placedFault.fault().inject(site, site.host(placedFault.host()));
            }
            Thread.sleep(2 * quarterMillis);
            for (PlacedFault placedFault : parameters.faults()) {
                placedFault.fault().recover(site, site.host(placedFault.host()));
            }
        } catch (Exception exception) {
            failure.set(exception);
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
     * Draws two random faults at two different hosts.
     *
     * @param site the site
     * @param random source of randomness
     * @return the two faults
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
