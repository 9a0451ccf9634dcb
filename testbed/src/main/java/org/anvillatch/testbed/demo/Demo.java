package org.anvillatch.testbed.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.anvillatch.testbed.site.JavaCommand;
import org.anvillatch.testbed.site.NodeProcess;
import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * Demonstration of the Sicilian site: every node, the log service and the callers run as separate processes; meanwhile
 * one node is killed and one host is drained. Not thread safe.
 */
public final class Demo {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DURATION_SECONDS = 20;
    private static final int REQUESTS_PER_SECOND = 120;
    private static final int RANDOM_SEED = 1;
    private static final long INTER_DOMAIN_LATENCY_MICROS = 500;
    private static final long KILL_AFTER_MILLIS = 6_000;
    private static final long DRAIN_AFTER_MILLIS = 6_000;
    private static final long STOP_TIMEOUT_SECONDS = 15;
    private static final String KILLED_HOST = "pronunciation-1";
    private static final String DRAINED_HOST = "catalogue-2";

    /** Totals; printed as the last line, in JSON. */
    private record Summary(
            int roots,
            int whole,
            int refusedNotRun,
            int unknown,
            int failed,
            int duplicateEffects,
            int foreignAnswers,
            int maxRetriesPerRoot,
            int retryBound) {}

    private final List<Process> processes = new ArrayList<>();

    private Demo() {}

    /**
     * Runs the demonstration.
     *
     * @param arguments none
     * @return 0 if every guarantee held, else 1
     * @throws Exception if a process of the site cannot be started
     */
    public static int run(String[] arguments) throws Exception {
        return new Demo().run();
    }

    private int run() throws Exception {
        Path directory = Files.createTempDirectory("anvillatch-demo");
        SiteSpec spec = SiteSpec.sicily();
        int logPort = RunningSite.freePorts(1).get(0);
        startProcess("log", List.of(Integer.toString(logPort)));
        RunningSite site = new RunningSite(
                spec, new RunningSite.Options(true, directory, List.of(), "127.0.0.1:" + logPort, null));
        Thread shutdownHook = new Thread(() -> stopAll(site), "cleaner");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            System.out.println("starting " + spec.name() + ": log service, nodes and endpoints; logs in " + directory);
            site.start();
            site.setInterDomainLatency(INTER_DOMAIN_LATENCY_MICROS);
            System.out.println(site.hosts().size() + " nodes know each other and the declared intent");
            Path callerHistory = directory.resolve("callers.jsonl");
            Process callers = startCallers(site, callerHistory);
            killAndDrain(site);
            callers.waitFor();
            List<HistoryEvent> events = new ArrayList<>(site.history().events());
            events.addAll(History.read(List.of(callerHistory)));
            return report(spec, events);
        } finally {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            stopAll(site);
        }
    }

    private Process startProcess(String subcommand, List<String> arguments) throws IOException {
        List<String> command = JavaCommand.testbed(subcommand);
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        processes.add(process);
        return process;
    }

    private Process startCallers(RunningSite site, Path history) throws IOException {
        String addresses = site.hosts().stream()
                .filter(host -> !host.name().equals(KILLED_HOST) && !host.name().equals(DRAINED_HOST))
                .map(host -> host.node().callerAddress())
                .collect(Collectors.joining(","));
        System.out.println("callers send " + REQUESTS_PER_SECOND + " requests a second for " + DURATION_SECONDS + " s");
        return startProcess(
                "callers",
                List.of(
                        site.spec().name(),
                        Integer.toString(DURATION_SECONDS),
                        Integer.toString(REQUESTS_PER_SECOND),
                        Integer.toString(RANDOM_SEED),
                        addresses,
                        history.toString()));
    }

    private static void killAndDrain(RunningSite site) throws Exception {
        Thread.sleep(KILL_AFTER_MILLIS);
        System.out.println("killing node " + KILLED_HOST);
        site.host(KILLED_HOST).node().send(NodeProcess.Signal.KILL);
        Thread.sleep(DRAIN_AFTER_MILLIS);
        System.out.println("draining endpoint and node " + DRAINED_HOST);
        site.host(DRAINED_HOST).agent().deregister().join();
        site.host(DRAINED_HOST).node().send(NodeProcess.Signal.TERM);
        int status = site.host(DRAINED_HOST).node().awaitExit(STOP_TIMEOUT_SECONDS);
        System.out.println("node " + DRAINED_HOST + " ended with status " + status);
        site.host(KILLED_HOST).node().start();
        System.out.println("node " + KILLED_HOST + " is started again");
    }

    private static int report(SiteSpec spec, List<HistoryEvent> events) throws IOException {
        HistoryChecker.Verdict verdict = new HistoryChecker(events, spec.retryBound()).check();
        printTable(spec, events);
        for (HistoryChecker.Violation violation : verdict.violations()) {
            System.out.println("BROKEN " + violation.promise() + ": " + violation.explanation());
            violation.trace().forEach(event -> System.out.println("  " + event));
        }
        Summary summary = new Summary(
                verdict.roots(),
                verdict.whole(),
                verdict.refusedNotRun(),
                verdict.unknown(),
                verdict.failed(),
                verdict.duplicateEffects(),
                verdict.foreignAnswers(),
                verdict.maxRetriesPerRoot(),
                spec.retryBound());
        System.out.println(MAPPER.writeValueAsString(summary));
        return verdict.violations().isEmpty() ? 0 : 1;
    }

    private static void printTable(SiteSpec spec, List<HistoryEvent> events) {
        Map<String, String> lastOutcomes = new LinkedHashMap<>();
        Map<String, String> operations = new LinkedHashMap<>();
        for (HistoryEvent event : events) {
            boolean isRootAnswer = event.root() != null
                    && event.root().equals(event.path())
                    && event.place().equals("caller");
            if (isRootAnswer && event.kind() == Kind.ANSWER) {
                lastOutcomes.put(event.root(), event.outcome());
                operations.put(event.root(), event.operation());
            }
        }
        System.out.printf(
                "%-10s %8s %8s %8s %8s %8s %8s%n",
                "kind", "sent", "complete", "not-run", "unknown", "failed", "duplic.");
        for (SiteSpec.RequestKind kind : spec.kinds()) {
            Map<String, Integer> counts = new TreeMap<>();
            lastOutcomes.forEach((root, outcome) -> {
                if (operations.get(root).equals(kind.operation())) {
                    counts.merge(outcome, 1, Integer::sum);
                }
            });
            int sent = counts.values().stream().mapToInt(Integer::intValue).sum();
            System.out.printf(
                    "%-10s %8d %8d %8d %8d %8d %8d%n",
                    kind.label(),
                    sent,
                    counts.getOrDefault("complete", 0),
                    counts.getOrDefault("not-run", 0),
                    counts.getOrDefault("unknown", 0),
                    counts.getOrDefault("failed", 0),
                    counts.getOrDefault("duplicate", 0));
        }
    }

    private void stopAll(RunningSite site) {
        try {
            site.close();
        } catch (Exception failure) {
            System.err.println("site did not stop cleanly: " + failure.getMessage());
        }
        processes.forEach(Process::destroyForcibly);
    }
}
