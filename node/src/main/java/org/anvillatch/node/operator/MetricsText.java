package org.anvillatch.node.operator;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats metrics as text for metrics scrapers: one {@code name value} pair on each line, durations in seconds. Gauges
 * without a numeric value are omitted. Stateless and thread safe.
 */
public final class MetricsText {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private MetricsText() {}

    /**
     * Formats all metrics.
     *
     * @param metrics the registry
     * @return the text, one line for each value
     */
    public static String of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getCounters().forEach((name, counter) -> appendLine(text, name, "", counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                appendLine(text, name, "", number);
            }
        });
        metrics.getTimers().forEach((name, timer) -> appendTimer(text, name, timer));
        return text.toString();
    }

    private static void appendTimer(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        appendLine(text, name + ".count", "", timer.getCount());
        appendLine(text, name + ".seconds", "{quantile=\"0.5\"}", snapshot.getMedian() / NANOS_PER_SECOND);
        appendLine(text, name + ".seconds", "{quantile=\"0.99\"}", snapshot.get99thPercentile() / NANOS_PER_SECOND);
    }

    private static void appendLine(StringBuilder text, String name, String labels, Number value) {
        String safeName = name.replaceAll("[^A-Za-z0-9]", "_");
        text.append("anvillatch_")
                .append(safeName)
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
