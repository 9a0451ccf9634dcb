package org.anvillatch.node.operator;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.anvillatch.decision.configuration.ChangeVerdict;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.language.Question;
import org.anvillatch.node.decisionlog.Decision;

/**
 * Builds the tables that answer operators' questions. Stateless and thread safe.
 */
final class OperatorTables {
    static final List<String> VERDICT_COLUMNS =
            List.of("version", "when", "author", "decision", "change", "statements");

    private static final long MILLIS_PER_SECOND = 1_000;

    private OperatorTables() {}

    static List<String> verdictRow(ChangeVerdict verdict) {
        return List.of(
                Long.toString(verdict.position()),
                Instant.ofEpochMilli(verdict.writtenMillis()).toString(),
                verdict.author(),
                verdict.decision().name().toLowerCase(Locale.ROOT),
                verdict.change(),
                String.join("; ", verdict.statements()));
    }

    static CommandAnswer.Table history(List<ChangeVerdict> verdicts) {
        List<List<String>> rows =
                verdicts.stream().map(OperatorTables::verdictRow).toList();
        return new CommandAnswer.Table("history", VERDICT_COLUMNS, rows);
    }

    static CommandAnswer.Table statements(Configuration configuration) {
        List<List<String>> rows = new ArrayList<>();
        for (ConfigurationChange change : configuration.asChanges()) {
            rows.add(List.of(change.text()));
        }
        return new CommandAnswer.Table("in force", List.of("statement"), rows);
    }

    static CommandAnswer.Table domains(List<HostStatus> hosts) {
        Map<String, TreeMap<Long, Integer>> versions = new TreeMap<>();
        for (HostStatus host : hosts) {
            versions.computeIfAbsent(host.domain(), domain -> new TreeMap<>())
                    .merge(host.configurationVersion(), 1, Integer::sum);
        }
        List<List<String>> rows = new ArrayList<>();
        versions.forEach((domain, counts) -> counts.forEach(
                (version, count) -> rows.add(List.of(domain, Long.toString(version), Integer.toString(count)))));
        return new CommandAnswer.Table("failure domains", List.of("domain", "version", "hosts"), rows);
    }

    static CommandAnswer.Table hosts(List<HostStatus> hosts) {
        List<List<String>> rows = new ArrayList<>();
        hosts.stream()
                .sorted(Comparator.comparing(HostStatus::domain).thenComparing(HostStatus::host))
                .forEach(host -> rows.add(hostRow(host)));
        return new CommandAnswer.Table(
                "hosts",
                List.of(
                        "host",
                        "domain",
                        "state",
                        "service",
                        "phase",
                        "slots",
                        "limit",
                        "running",
                        "reported",
                        "waiting",
                        "level",
                        "version",
                        "members"),
                rows);
    }

    private static List<String> hostRow(HostStatus host) {
        return List.of(
                host.host(),
                host.domain(),
                host.state(),
                host.service(),
                host.gatekeeper().phase().name().toLowerCase(Locale.ROOT),
                Integer.toString(host.gatekeeper().slots()),
                Integer.toString(host.gatekeeper().limit()),
                Integer.toString(host.gatekeeper().running()),
                Integer.toString(host.reportedRunning()),
                Integer.toString(host.gatekeeper().waiting()),
                Integer.toString(host.gatekeeper().level()),
                Long.toString(host.configurationVersion()),
                Integer.toString(host.members()));
    }

    static CommandAnswer.Table teams(Configuration configuration) {
        List<List<String>> rows = new ArrayList<>();
        configuration
                .teams()
                .forEach((name, policy) -> rows.add(List.of(
                        name,
                        policy.importance() == null ? "" : policy.importance(),
                        policy.ratePerSecond() == 0 ? "" : Integer.toString(policy.ratePerSecond()),
                        policy.ratePerSecond() == 0 ? "" : Integer.toString(policy.burst()),
                        Integer.toString(policy.keyHashes().size()))));
        return new CommandAnswer.Table("teams", List.of("team", "importance", "rate", "burst", "keys"), rows);
    }

    static CommandAnswer.Table shed(
            Question.ShowShed question, List<Decision> refusals, List<String> importances, long nowMillis) {
        Map<String, Integer> counts = new TreeMap<>();
        for (Decision decision : refusals) {
            if (nowMillis - decision.atMillis() <= question.lastSeconds() * MILLIS_PER_SECOND) {
                counts.merge(groupOf(question.grouping(), decision, importances), 1, Integer::sum);
            }
        }
        List<List<String>> rows = counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(question.top())
                .map(entry -> List.of(entry.getKey(), entry.getValue().toString()))
                .toList();
        String column = question.grouping().name().toLowerCase(Locale.ROOT);
        return new CommandAnswer.Table("refused", List.of(column, "refusals"), rows);
    }

    private static String groupOf(Question.Grouping grouping, Decision decision, List<String> importances) {
        return switch (grouping) {
            case HOST -> decision.node();
            case OPERATION -> decision.operation();
            case IMPORTANCE ->
                decision.importance() < importances.size()
                        ? importances.get(decision.importance())
                        : Integer.toString(decision.importance());
            case REASON -> decision.reason();
        };
    }

    static CommandAnswer.Table decisions(String request, List<Decision> decisions) {
        List<List<String>> rows = new ArrayList<>();
        decisions.stream()
                .sorted(Comparator.comparingLong(Decision::atMillis))
                .forEach(decision -> rows.add(decisionRow(decision)));
        return new CommandAnswer.Table(
                "request " + request,
                List.of(
                        "when",
                        "node",
                        "kind",
                        "attempt",
                        "operation",
                        "candidate",
                        "result",
                        "reason",
                        "level",
                        "retries left"),
                rows);
    }

    private static List<String> decisionRow(Decision decision) {
        return List.of(
                Instant.ofEpochMilli(decision.atMillis()).toString(),
                decision.node(),
                decision.kind().name().toLowerCase(Locale.ROOT),
                Integer.toString(decision.attempt()),
                decision.operation(),
                decision.candidate(),
                decision.result(),
                decision.reason(),
                Integer.toString(decision.level()),
                Integer.toString(decision.retriesLeft()));
    }

    static CommandAnswer.Table help() {
        List<List<String>> rows = new ArrayList<>();
        for (String statement : List.of(
                "importance order NAME < NAME ...",
                "operation SERVICE/OPERATION importance NAME [not] idempotent deadline N ms",
                "retry bound N",
                "drain host|domain NAME",
                "return host|domain NAME",
                "team NAME [importance NAME] [rate N [burst N]] [keys HASH, HASH ...]",
                "remove team NAME",
                "quarantine FINGERPRINT",
                "release FINGERPRINT",
                "if version N STATEMENT; STATEMENT ...",
                "show configuration",
                "show history",
                "show change CHANGE",
                "show hosts",
                "show teams",
                "show quarantine",
                "show shed [by host|operation|importance|reason] [top N] [last N seconds]",
                "explain request ID",
                "help")) {
            rows.add(List.of(statement));
        }
        return new CommandAnswer.Table("statements", List.of("statement"), rows);
    }
}
