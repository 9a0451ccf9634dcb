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
 * Plots whole requests over time by importance, with the trigger marked. Stateless and thread safe.
 */
final class GoodputPlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double BUCKET_SECONDS = 0.5;
    private static final Color TRIGGER = new Color(255, 200, 120, 90);

    private GoodputPlot() {}

    static void write(
            Path file,
            String title,
            SiteSpec spec,
            Measurer.Times times,
            Map<String, Collection<Callers.RequestResult>> endings)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        endings.forEach((variant, all) -> {
            for (int importance = 0; importance < spec.importances().size(); importance++) {
                data.addSeries(series(variant, spec.importances().get(importance), importance, times, all));
            }
        });
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds by arrival", "whole requests a second", data);
        IntervalMarker trigger = new IntervalMarker(
                seconds(times.triggerStartMicros(), times), seconds(times.triggerEndMicros(), times), TRIGGER);
        chart.getXYPlot().addDomainMarker(trigger);
        chart.getXYPlot().getRenderer().setDefaultStroke(new BasicStroke(2));
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static double seconds(long atMicros, Measurer.Times times) {
        return (atMicros - times.startMicros()) / MICROS_PER_SECOND;
    }

    private static XYSeries series(
            String variant,
            String name,
            int importance,
            Measurer.Times times,
            Collection<Callers.RequestResult> endings) {
        int buckets = (int) (seconds(times.endMicros(), times) / BUCKET_SECONDS) + 1;
        double[] counts = new double[buckets];
        for (Callers.RequestResult ending : endings) {
            int bucket = (int) (seconds(ending.dueMicros(), times) / BUCKET_SECONDS);
            if (ending.whole() && ending.importance() == importance && bucket < buckets) {
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
