package org.anvillatch.node.operator;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Writes metrics in the text form that scrapers read: one {@code name value} a line, durations in seconds. Stateless and
 * thread safe.
 */
public final class MetricsText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private MetricsText() {}

    /**
     * Writes all metrics.
     *
     * @param metrics the registry
     * @return one line for each value
     */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> line(text, name, "", counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                line(text, name, "", number);
            }
        });
        metrics.getTimers().forEach((name, timer) -> timer(text, name, timer));
        return text.toString();
    }

    private static void timer(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        line(text, name + ".count", "", timer.getCount());
        line(text, name + ".seconds", "{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
        line(text, name + ".seconds", "{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
    }

    private static void line(StringBuilder text, String name, String labels, Number value) {
        String safe = name.replaceAll("[^A-Za-z0-9]", "_");
        text.append("anvillatch_")
                .append(safe)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
