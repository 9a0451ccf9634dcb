package org.anvillatch.testbed.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;

import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.site.SiteSpec;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Plots the rate of whole requests over time for each importance level and marks the trigger. Stateless and thread
 * safe.
 */
final class GoodputPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 420;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double BUCKET_SECONDS = 0.5;
    private static final Color TRIGGER_COLOR = new Color(255, 200, 120, 90);

    private GoodputPlot() {}

    static void write(
            Path file,
            String title,
            SiteSpec spec,
            Measurer.Times times,
            Map<String, Collection<Callers.RequestResult>> results)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        results.forEach((variant, variantResults) -> {
            for (int importance = 0; importance < spec.importances().size(); importance++) {
                data.addSeries(series(variant, spec.importances().get(importance), importance, times, variantResults));
            }
        });
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds by arrival", "whole requests a second", data);
        IntervalMarker trigger = new IntervalMarker(
                seconds(times.triggerStartMicros(), times), seconds(times.triggerEndMicros(), times), TRIGGER_COLOR);
        chart.getXYPlot().addDomainMarker(trigger);
        chart.getXYPlot().getRenderer().setDefaultStroke(new BasicStroke(2));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }

    private static double seconds(long atMicros, Measurer.Times times) {
        return (atMicros - times.startMicros()) / MICROS_PER_SECOND;
    }

    private static XYSeries series(
            String variant,
            String name,
            int importance,
            Measurer.Times times,
            Collection<Callers.RequestResult> results) {
        int buckets = (int) (seconds(times.endMicros(), times) / BUCKET_SECONDS) + 1;
        double[] counts = new double[buckets];
        for (Callers.RequestResult result : results) {
            int bucket = (int) (seconds(result.dueMicros(), times) / BUCKET_SECONDS);
            if (result.whole() && result.importance() == importance && bucket < buckets) {
                counts[bucket]++;
            }
        }
        XYSeries series = new XYSeries(variant + " " + name);
        for (int bucket = 0; bucket < buckets; bucket++) {
            series.add(bucket * BUCKET_SECONDS, counts[bucket] / BUCKET_SECONDS);
        }
        return series;
    }
}
