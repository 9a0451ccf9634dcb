package org.anvillatch.testbed.experiment;

import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.load.CallTarget;
import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.load.NodeTarget;
import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * A run of one variant of one experiment. Not thread safe; each instance is used once.
 */
final class VariantRun {
    private static final double WARM_UP_SECONDS = 5;
    private static final int CALLER_RETRIES = 3;
    private static final long CALLER_RETRY_PAUSE_MILLIS = 100;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int MAX_SHOWN_VIOLATIONS = 3;

    /**
     * Parameters of the run.
     *
     * @param spec specification of the site
     * @param plan the experiment
     * @param seed random seed of the arrivals
     * @param seconds how long requests arrive, in seconds
     * @param nodeFlags further command line flags of every node
     * @param out directory for results
     */
    record Parameters(
            SiteSpec spec, ExperimentPlan plan, long seed, double seconds, List<String> nodeFlags, Path out) {}

    /**
     * Result of the run.
     *
     * @param measurement the measurement
     * @param requestResults results of all root requests
     * @param times times of the run
     */
    record Result(Measurement measurement, Collection<Callers.RequestResult> requestResults, Measurer.Times times) {}

    private final Parameters parameters;
    private final Variant variant;

    VariantRun(Parameters parameters, Variant variant) {
        this.parameters = parameters;
        this.variant = variant;
    }

    Result run() throws Exception {
        DirectCalls direct = variant.hasNodes() ? null : new DirectCalls(variant.hopRetries());
        Path logs = parameters.out().resolve(variant.label() + "-logs");
        RunningSite.Options options = new RunningSite.Options(false, logs, parameters.nodeFlags(), "", direct);
        try (RunningSite site = new RunningSite(parameters.spec(), options)) {
            if (direct != null) {
                direct.setSite(site);
            }
            site.start();
            CallTarget target = direct != null
                    ? direct
                    : new NodeTarget(() -> site.hosts().stream()
                            .filter(host -> host.node().isAlive())
                            .map(host -> host.node().callerAddress())
                            .toList());
            return measure(site, target);
        }
    }

    private Result measure(RunningSite site, CallTarget target) throws Exception {
        Capacity.Bottleneck bottleneck = Capacity.of(parameters.spec());
        ConcurrentLinkedQueue<Callers.RequestResult> requestResults = new ConcurrentLinkedQueue<>();
        AtomicInteger lastCount = new AtomicInteger();
        callers(site, target, "warm-up", requestResults)
                .run(WARM_UP_SECONDS, atSeconds -> bottleneck.rootsPerSecond() / 2);
        requestResults.clear();
        int warmUpEvents = site.history().events().size();
        double thirdSeconds = parameters.seconds() / 3;
        long start = History.nowMicros();
        Measurer.Times times = new Measurer.Times(
                start,
                start + (long) (thirdSeconds * MICROS_PER_SECOND),
                start + (long) (2 * thirdSeconds * MICROS_PER_SECOND),
                start + (long) (3 * thirdSeconds * MICROS_PER_SECOND));
        Thread trigger = startTriggerThread(site, bottleneck.service(), times);
        Thread progress = startProgressThread(requestResults, lastCount);
        callers(site, target, variant.label(), requestResults)
                .run(
                        parameters.seconds(),
                        parameters.plan().rate(bottleneck.rootsPerSecond(), thirdSeconds, 2 * thirdSeconds));
        trigger.join();
        progress.interrupt();
        List<HistoryEvent> allEvents = site.history().events();
        List<HistoryEvent> events = allEvents.subList(warmUpEvents, allEvents.size()).stream()
                .filter(event -> event.root() == null || !event.root().contains("warm-up"))
                .toList();
        HistoryChecker.Verdict verdict =
                new HistoryChecker(events, parameters.spec().retryBound()).check();
        if (variant.hasNodes()) {
            print(verdict);
        }
        Measurement measurement = new Measurer(parameters.spec(), bottleneck, times, requestResults, events)
                .measure(
                        variant,
                        parameters.plan().capacityFactor(),
                        verdict.violations().size());
        return new Result(measurement, requestResults, times);
    }

    private Callers callers(
            RunningSite site,
            CallTarget target,
            String run,
            ConcurrentLinkedQueue<Callers.RequestResult> requestResults) {
        return new Callers(
                site.spec(),
                site.sender(),
                target,
                site.timer(),
                site.history(),
                new Callers.Behaviour(run, parameters.seed(), CALLER_RETRIES, CALLER_RETRY_PAUSE_MILLIS, 0, 0),
                requestResults::add);
    }

    private Thread startTriggerThread(RunningSite site, String bottleneck, Measurer.Times times) {
        Thread thread = new Thread(
                () -> {
                    try {
                        sleepUntil(times.triggerStartMicros());
                        parameters.plan().startTrigger(site, bottleneck);
                        sleepUntil(times.triggerEndMicros());
                        parameters.plan().endTrigger(site, bottleneck);
                    } catch (Exception failure) {
                        throw new IllegalStateException("trigger failed", failure);
                    }
                },
                "trigger");
        thread.start();
        return thread;
    }

    private static void sleepUntil(long atMicros) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, atMicros - History.nowMicros()));
    }

    private Thread startProgressThread(Collection<Callers.RequestResult> requestResults, AtomicInteger lastCount) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            TimeUnit.SECONDS.sleep(5);
                            int count = requestResults.size();
                            System.out.println("  " + variant.label() + ": " + count + " requests ended, "
                                    + (count - lastCount.getAndSet(count)) / 5 + " a second");
                        }
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                "progress");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void print(HistoryChecker.Verdict verdict) {
        verdict.violations().stream()
                .collect(Collectors.groupingBy(HistoryChecker.Violation::promise))
                .forEach((promise, violations) -> {
                    System.out.println("  BROKEN " + promise + ": " + violations.size() + " times");
                    violations.stream()
                            .limit(MAX_SHOWN_VIOLATIONS)
                            .forEach(violation -> System.out.println("    " + violation.explanation()));
                });
    }
}
