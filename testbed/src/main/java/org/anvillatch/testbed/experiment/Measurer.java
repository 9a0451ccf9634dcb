package org.anvillatch.testbed.experiment;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * Computes a {@link Measurement} from what callers and endpoints observed. Not thread safe; each instance is used once.
 */
final class Measurer {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long RECOVERY_WINDOW_MICROS = 1_000_000;
    private static final long RECOVERY_STEP_MICROS = 100_000;
    private static final double RECOVERED_RATIO = 0.95;
    private static final int HISTOGRAM_DIGITS = 3;

    /**
     * Times of a run, in microseconds.
     *
     * @param startMicros first arrival
     * @param triggerStartMicros start of the trigger
     * @param triggerEndMicros end of the trigger
     * @param endMicros last arrival
     */
    record Times(long startMicros, long triggerStartMicros, long triggerEndMicros, long endMicros) {}

    private final SiteSpec spec;
    private final Capacity.Bottleneck bottleneck;
    private final Times times;
    private final List<Callers.RequestResult> results;
    private final List<HistoryEvent> events;

    Measurer(
            SiteSpec spec,
            Capacity.Bottleneck bottleneck,
            Times times,
            Collection<Callers.RequestResult> results,
            List<HistoryEvent> events) {
        this.spec = spec;
        this.bottleneck = bottleneck;
        this.times = times;
        this.results = List.copyOf(results);
        this.events = events;
    }

    /**
     * Computes the measurement.
     *
     * @param variant the measured variant
     * @param capacityFactor capacity during the trigger as a fraction of the normal capacity
     * @param violations number of violated guarantees that the history checker found
     * @return the measurement
     */
    Measurement measure(Variant variant, double capacityFactor, int violations) {
        Set<String> whole = wholeRoots();
        List<Callers.RequestResult> duringTrigger =
                arrivedBetween(times.triggerStartMicros(), times.triggerEndMicros());
        int important = spec.importances().size() - 1;
        long importantCount = duringTrigger.stream()
                .filter(result -> result.importance() == important)
                .count();
        long importantWholeCount = duringTrigger.stream()
                .filter(result -> result.importance() == important && result.whole())
                .count();
        double seconds = (times.triggerEndMicros() - times.triggerStartMicros()) / MICROS_PER_SECOND;
        double offered = duringTrigger.size() / seconds;
        Histogram before = histogram(arrivedBetween(times.startMicros(), times.triggerStartMicros()), true);
        Histogram refused = histogram(results, false);
        return new Measurement(
                variant.label(),
                round(bottleneck.rootsPerSecond()),
                round(offered),
                round(goodput(whole, offered / capacityFactor)),
                round(importantCount == 0 ? 1 : (double) importantWholeCount / importantCount),
                (int) (importantCount - importantWholeCount),
                round(wastedWork(whole)),
                round((double) retries() / Math.max(1, results.size())),
                round(recoverySeconds()),
                before.getValueAtPercentile(50) / MICROS_PER_MILLI,
                before.getValueAtPercentile(99) / MICROS_PER_MILLI,
                refused.getValueAtPercentile(50) / MICROS_PER_MILLI,
                violations);
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private List<Callers.RequestResult> arrivedBetween(long from, long until) {
        return results.stream()
                .filter(result -> result.dueMicros() >= from && result.dueMicros() < until)
                .toList();
    }

    private Set<String> wholeRoots() {
        Set<String> whole = new HashSet<>();
        for (HistoryEvent event : events) {
            boolean isRootEvent = event.kind() == Kind.ANSWER && event.root().equals(event.path());
            if (isRootEvent && "complete".equals(event.outcome()) && event.intact()) {
                whole.add(event.root());
            }
        }
        return whole;
    }

    /**
     * Returns the slot time that the bottleneck spent on whole requests during the trigger, as a fraction of the
     * slot time that the offered load and the slots allow.
     */
    private double goodput(Set<String> whole, double offered) {
        double usefulMicros = 0;
        Map<String, HistoryEvent> starts = new HashMap<>();
        for (HistoryEvent event : events) {
            boolean atBottleneck =
                    event.operation() != null && event.operation().startsWith(bottleneck.service() + "/");
            if (atBottleneck && event.kind() == Kind.START) {
                starts.put(event.execution(), event);
            } else if (atBottleneck && event.kind() == Kind.END && whole.contains(event.root())) {
                HistoryEvent start = starts.get(event.execution());
                usefulMicros += overlap(start.atMicros(), event.atMicros());
            }
        }
        double triggerMicros = times.triggerEndMicros() - times.triggerStartMicros();
        double possibleMicros = triggerMicros * bottleneck.slots() * Math.min(1, offered / bottleneck.rootsPerSecond());
        return usefulMicros / possibleMicros;
    }

    private double overlap(long from, long until) {
        long first = Math.max(from, times.triggerStartMicros());
        long last = Math.min(until, times.triggerEndMicros());
        return Math.max(0, last - first);
    }

    private double wastedWork(Set<String> whole) {
        Map<String, HistoryEvent> starts = new HashMap<>();
        double totalMicros = 0;
        double wastedMicros = 0;
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START) {
                starts.put(event.execution(), event);
            } else if (event.kind() == Kind.END) {
                double duration =
                        event.atMicros() - starts.get(event.execution()).atMicros();
                totalMicros += duration;
                wastedMicros += whole.contains(event.root()) ? 0 : duration;
            }
        }
        return totalMicros == 0 ? 0 : wastedMicros / totalMicros;
    }

    private int retries() {
        Set<String> paths = new HashSet<>();
        int retries = 0;
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START && !paths.add(event.path())) {
                retries++;
            }
        }
        return retries;
    }

    private double recoverySeconds() {
        double before = wholeRatio(times.startMicros(), times.triggerStartMicros());
        long last = times.endMicros() - RECOVERY_WINDOW_MICROS;
        for (long from = times.triggerEndMicros(); from <= last; from += RECOVERY_STEP_MICROS) {
            if (wholeRatio(from, from + RECOVERY_WINDOW_MICROS) >= RECOVERED_RATIO * before) {
                return (from - times.triggerEndMicros()) / MICROS_PER_SECOND;
            }
        }
        return -1;
    }

    private double wholeRatio(long from, long until) {
        List<Callers.RequestResult> arrivals = arrivedBetween(from, until);
        long whole = arrivals.stream().filter(Callers.RequestResult::whole).count();
        return arrivals.isEmpty() ? 0 : (double) whole / arrivals.size();
    }

    private static Histogram histogram(List<Callers.RequestResult> results, boolean whole) {
        Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
        for (Callers.RequestResult result : results) {
            boolean wanted = whole
                    ? result.whole() && result.attempts() == 1
                    : result.outcome().equals("not-run");
            if (wanted) {
                histogram.recordValue(result.firstAttemptMicros());
            }
        }
        return histogram;
    }
}
