package org.anvillatch.testbed.experiment;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.testbed.load.Callers;
import org.anvillatch.testbed.site.SiteSpec;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs a named experiment with one or all variants and prints a comparison. Stateless.
 */
public final class ExperimentMain {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int WRONG_ARGUMENTS = 2;

    private ExperimentMain() {}

    private static Options declareOptions() {
        Options options = new Options();
        options.addOption(option("site", "sicily or zagreb; default sicily"));
        options.addOption(option("variant", "direct, naive-retry, anvillatch or all; default all"));
        options.addOption(option("seed", "seed of arrivals; default 1"));
        options.addOption(option("duration", "seconds of arrivals, a third of them under the trigger; default 24"));
        options.addOption(option("scale", "factor on service times, which divides all rates; default 2"));
        options.addOption(option("node-flags", "further flags of every node, joined by commas"));
        options.addOption(option("out", "directory for results and plots; default out"));
        return options;
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    /**
     * Runs an experiment.
     *
     * @param arguments name of the experiment, followed by flags
     * @return exit status: 0, or 2 for wrong arguments
     * @throws Exception if the site cannot be started or a result cannot be written
     */
    public static int run(String[] arguments) throws Exception {
        ExperimentPlan plan = arguments.length == 0 ? null : ExperimentPlan.byName(arguments[0]);
        if (plan == null) {
            System.err.println("the first argument must be one of "
                    + Arrays.stream(ExperimentPlan.values())
                            .map(ExperimentPlan::label)
                            .collect(Collectors.joining(", ")));
            return WRONG_ARGUMENTS;
        }
        try {
            String[] flagArguments = Arrays.copyOfRange(arguments, 1, arguments.length);
            return run(plan, new DefaultParser(false).parse(declareOptions(), flagArguments));
        } catch (ParseException | IllegalArgumentException failure) {
            System.err.println(failure.getMessage());
            return WRONG_ARGUMENTS;
        }
    }

    private static int run(ExperimentPlan plan, CommandLine line) throws Exception {
        SiteSpec spec = SiteSpec.byName(line.getOptionValue("site", "sicily"));
        if (spec == null) {
            throw new IllegalArgumentException(
                    "--site \"" + line.getOptionValue("site") + "\" is neither sicily nor zagreb");
        }
        Path out = Files.createDirectories(Path.of(line.getOptionValue("out", "out")));
        VariantRun.Parameters parameters = new VariantRun.Parameters(
                spec.slowedBy(Double.parseDouble(line.getOptionValue("scale", "2"))),
                plan,
                Long.parseLong(line.getOptionValue("seed", "1")),
                Double.parseDouble(line.getOptionValue("duration", "24")),
                flags(line.getOptionValue("node-flags", "")),
                out);
        System.out.println(plan.label() + " at " + spec.name() + ": " + plan.description());
        List<Measurement> measurements = new ArrayList<>();
        Map<String, Collection<Callers.RequestResult>> requestResults = new LinkedHashMap<>();
        Measurer.Times times = null;
        for (Variant variant : variants(line.getOptionValue("variant", "all"))) {
            VariantRun.Result result = new VariantRun(parameters, variant).run();
            measurements.add(result.measurement());
            requestResults.put(variant.label(), result.requestResults());
            times = result.times();
            GoodputPlot.write(
                    out.resolve(plan.label() + "-" + spec.name() + "-" + variant.label() + ".png"),
                    plan.label() + " at " + spec.name() + ", " + variant.label(),
                    spec,
                    times,
                    Map.of(variant.label(), result.requestResults()));
        }
        report(plan, spec, measurements, out);
        return 0;
    }

    private static List<String> flags(String commaSeparated) {
        return commaSeparated.isEmpty() ? List.of() : List.of(commaSeparated.split(","));
    }

    private static List<Variant> variants(String name) {
        if (name.equals("all")) {
            return List.of(Variant.values());
        }
        List<Variant> variants = Arrays.stream(Variant.values())
                .filter(variant -> variant.label().equals(name))
                .toList();
        if (variants.isEmpty()) {
            throw new IllegalArgumentException(
                    "--variant \"" + name + "\" is none of direct, naive-retry, anvillatch, all");
        }
        return variants;
    }

    private static void report(ExperimentPlan plan, SiteSpec spec, List<Measurement> measurements, Path out)
            throws Exception {
        System.out.printf(
                "%-12s %8s %8s %8s %9s %7s %8s %8s %8s %8s %9s%n",
                "variant",
                "offered",
                "goodput",
                "import.",
                "refused",
                "wasted",
                "retries",
                "recovery",
                "p50 ms",
                "p99 ms",
                "refusal");
        Map<String, Measurement> byVariant = new LinkedHashMap<>();
        for (Measurement measurement : measurements) {
            byVariant.put(measurement.variant(), measurement);
            System.out.printf(
                    "%-12s %8.0f %8.3f %8.3f %9d %7.3f %8.3f %8.1f %8.2f %8.2f %9.2f%n",
                    measurement.variant(),
                    measurement.offered(),
                    measurement.goodputWhole(),
                    measurement.goodputImportant(),
                    measurement.importantRefused(),
                    measurement.wastedWork(),
                    measurement.retriesPerRoot(),
                    measurement.recoverySeconds(),
                    measurement.p50Millis(),
                    measurement.p99Millis(),
                    measurement.refusalP50Millis());
        }
        String json = MAPPER.writeValueAsString(byVariant);
        Files.writeString(
                out.resolve(plan.label() + "-" + spec.name() + ".jsonl"), json + "\n", StandardCharsets.UTF_8);
        System.out.println(json);
    }
}
