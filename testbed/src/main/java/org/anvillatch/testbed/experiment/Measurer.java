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
 * Works out a {@link Measurement} from what callers and endpoints saw. Not thread safe: used once.
 */
final class Measurer {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long RECOVERY_WINDOW_MICROS = 1_000_000;
    private static final long RECOVERY_STEP_MICROS = 100_000;
    private static final double RECOVERED_RATIO = 0.95;
    private static final int HISTOGRAM_DIGITS = 3;

    /**
     * Times of a run.
     *
     * @param startMicros first arrival
     * @param triggerStartMicros begin of the trigger
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
            Collection<Callers.RequestResult> endings,
            List<HistoryEvent> events) {
        this.spec = spec;
        this.bottleneck = bottleneck;
        this.times = times;
        this.results = List.copyOf(endings);
        this.events = events;
    }

    /**
     * Works out the figures.
     *
     * @param variant the variant that ran
     * @param capacityFactor capacity under the trigger as a part of the usual one
     * @param violations promises that the history checker found broken
     * @return the figures
     */
    Measurement measure(Variant variant, double capacityFactor, int violations) {
        Set<String> whole = wholeRoots();
        List<Callers.RequestResult> during = arrivedBetween(times.triggerStartMicros(), times.triggerEndMicros());
        int important = spec.importances().size() - 1;
        long importantAll = during.stream()
                .filter(ending -> ending.importance() == important)
                .count();
        long importantWhole = during.stream()
                .filter(ending -> ending.importance() == important && ending.whole())
                .count();
        double seconds = (times.triggerEndMicros() - times.triggerStartMicros()) / MICROS_PER_SECOND;
        double offered = during.size() / seconds;
        Histogram before = histogram(arrivedBetween(times.startMicros(), times.triggerStartMicros()), true);
        Histogram refused = histogram(results, false);
        return new Measurement(
                variant.label(),
                round(bottleneck.rootsPerSecond()),
                round(offered),
                round(goodput(whole, offered / capacityFactor)),
                round(importantAll == 0 ? 1 : (double) importantWhole / importantAll),
                (int) (importantAll - importantWhole),
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
                .filter(ending -> ending.dueMicros() >= from && ending.dueMicros() < until)
                .toList();
    }

    private Set<String> wholeRoots() {
        Set<String> whole = new HashSet<>();
        for (HistoryEvent event : events) {
            boolean ofRoot = event.kind() == Kind.ANSWER && event.root().equals(event.path());
            if (ofRoot && "complete".equals(event.outcome()) && event.intact()) {
                whole.add(event.root());
            }
        }
        return whole;
    }

    /** Slot time of the bottleneck during the trigger that went into whole requests, against what could have. */
    private double goodput(Set<String> whole, double offered) {
        double useful = 0;
        Map<String, HistoryEvent> started = new HashMap<>();
        for (HistoryEvent event : events) {
            boolean here = event.operation() != null && event.operation().startsWith(bottleneck.service() + "/");
            if (here && event.kind() == Kind.START) {
                started.put(event.execution(), event);
            } else if (here && event.kind() == Kind.END && whole.contains(event.root())) {
                HistoryEvent start = started.get(event.execution());
                useful += overlap(start.atMicros(), event.atMicros());
            }
        }
        double window = times.triggerEndMicros() - times.triggerStartMicros();
        double possible = window * bottleneck.slots() * Math.min(1, offered / bottleneck.rootsPerSecond());
        return useful / possible;
    }

    private double overlap(long from, long until) {
        long first = Math.max(from, times.triggerStartMicros());
        long last = Math.min(until, times.triggerEndMicros());
        return Math.max(0, last - first);
    }

    private double wastedWork(Set<String> whole) {
        Map<String, HistoryEvent> started = new HashMap<>();
        double all = 0;
        double wasted = 0;
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START) {
                started.put(event.execution(), event);
            } else if (event.kind() == Kind.END) {
                double duration =
                        event.atMicros() - started.get(event.execution()).atMicros();
                all += duration;
                wasted += whole.contains(event.root()) ? 0 : duration;
            }
        }
        return all == 0 ? 0 : wasted / all;
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
        List<Callers.RequestResult> arrived = arrivedBetween(from, until);
        long whole = arrived.stream().filter(Callers.RequestResult::whole).count();
        return arrived.isEmpty() ? 0 : (double) whole / arrived.size();
    }

    private static Histogram histogram(List<Callers.RequestResult> endings, boolean whole) {
        Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
        for (Callers.RequestResult ending : endings) {
            boolean wanted = whole
                    ? ending.whole() && ending.attempts() == 1
                    : ending.outcome().equals("not-run");
            if (wanted) {
                histogram.recordValue(ending.firstAttemptMicros());
            }
        }
        return histogram;
    }
}
