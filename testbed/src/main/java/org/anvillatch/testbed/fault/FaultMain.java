package org.anvillatch.testbed.fault;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs rounds with random pairs of faults. The same seed gives the same schedule of faults. Stateless.
 */
public final class FaultMain {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double ROUND_SECONDS = 3;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final double CALLER_KEY_RATIO = 0.5;
    private static final int POISON_INTERVAL_ROUNDS = 5;
    private static final int WRONG_ARGUMENTS = 2;

    private FaultMain() {}

    /** Totals of all rounds; printed as the last line, in JSON. */
    private record Summary(
            long seed,
            int rounds,
            int fallen,
            int roots,
            int whole,
            int notRun,
            int unknown,
            Map<String, Integer> broken) {}

    /** Result of one round; one JSON line of the results file. */
    private record RoundResult(
            int round, List<FaultRound.PlacedFault> faults, boolean poison, HistoryChecker.Verdict verdict) {}

    /**
     * Runs the rounds.
     *
     * @param arguments {@code --seed N --rounds K --out DIR}
     * @return 0 if no guarantee was violated, 1 if one was, 2 for wrong arguments
     * @throws Exception if the site cannot be started or a round cannot be run
     */
    public static int run(String[] arguments) throws Exception {
        Options options = new Options();
        for (String name : List.of("seed", "rounds", "out")) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options, arguments);
        } catch (ParseException problem) {
            System.err.println(problem.getMessage());
            return WRONG_ARGUMENTS;
        }
        long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        int rounds = Integer.parseInt(line.getOptionValue("rounds", "20"));
        Path out = Files.createDirectories(Path.of(line.getOptionValue("out", "out")));
        RunningSite.Options siteOptions = new RunningSite.Options(true, out.resolve("fault-logs"), List.of(), "", null);
        try (RunningSite site = new RunningSite(SiteSpec.small(), siteOptions)) {
            site.start();
            return run(site, seed, rounds, out.resolve("fault-" + seed + ".jsonl"));
        }
    }

    private static int run(RunningSite site, long seed, int rounds, Path file) throws Exception {
        Files.deleteIfExists(file);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Integer> violationCounts = new TreeMap<>();
        int failedRounds = 0;
        int[] totals = new int[4];
        for (int round = 1; round <= rounds; round++) {
            List<FaultRound.PlacedFault> faults = FaultRound.drawRandomPair(site, random);
            boolean poison = round % POISON_INTERVAL_ROUNDS == 0;
            FaultRound.Parameters parameters = new FaultRound.Parameters(
                    "round" + round,
                    random.nextLong(),
                    ROUND_SECONDS,
                    REQUESTS_PER_SECOND,
                    faults,
                    poison,
                    CALLER_KEY_RATIO);
            HistoryChecker.Verdict verdict = new FaultRound(site, parameters).run();
            totals[0] += verdict.roots();
            totals[1] += verdict.whole();
            totals[2] += verdict.refusedNotRun();
            totals[3] += verdict.unknown();
            failedRounds += verdict.violations().isEmpty() ? 0 : 1;
            verdict.violations().forEach(violation -> violationCounts.merge(violation.promise(), 1, Integer::sum));
            print(round, faults, poison, verdict);
            String json = MAPPER.writeValueAsString(new RoundResult(round, faults, poison, verdict));
            Files.writeString(
                    file, json + "\n", StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        Summary summary =
                new Summary(seed, rounds, failedRounds, totals[0], totals[1], totals[2], totals[3], violationCounts);
        System.out.println(MAPPER.writeValueAsString(summary));
        return failedRounds == 0 ? 0 : 1;
    }

    private static void print(
            int round, List<FaultRound.PlacedFault> faults, boolean poison, HistoryChecker.Verdict verdict) {
        System.out.printf(
                "round %d %s %s%s: %d roots, %d whole, %d not run, %d unknown, %d failed, %d duplicate, %d retries at most%n",
                round,
                faults.get(0),
                faults.get(1),
                poison ? " poison" : "",
                verdict.roots(),
                verdict.whole(),
                verdict.refusedNotRun(),
                verdict.unknown(),
                verdict.failed(),
                verdict.duplicates(),
                verdict.maxRetriesPerRoot());
        verdict.violations().stream().limit(3).forEach(violation -> {
            System.out.println("  BROKEN " + violation.promise() + ": " + violation.explanation());
            violation.trace().forEach(event -> System.out.println("    " + event));
        });
    }
}
