package org.anvillatch.node.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.anvillatch.decision.configuration.ChangeVerdict;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.language.Script;
import org.anvillatch.node.configuration.ConfigurationService;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.platform.PlatformLog;

/**
 * Executes changes of the configuration. Not thread safe: all methods are called on the decision loop.
 *
 * <p>Invariant: the answer is {@link CommandAnswer.Result#ACCEPTED} only after this host has applied the record of the
 * change. The answer names each failure domain in which a sampled host has not reported yet that it applied the change.
 */
public final class ChangeCommand {
    private static final long MAX_VERDICT_WAIT_MICROS = 2_500_000;
    private static final long MAX_DOMAIN_WAIT_MICROS = 3_000_000;
    private static final long DOMAIN_POLL_PERIOD_MICROS = 50_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final ConfigurationService configuration;
    private final HostSurvey survey;
    private long nextChangeNumber = 1;

    /**
     * Creates the command.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param configuration appends changes
     * @param survey asks other hosts for their state
     */
    public ChangeCommand(DecisionLoop loop, HostState state, ConfigurationService configuration, HostSurvey survey) {
        this.loop = loop;
        this.state = state;
        this.configuration = configuration;
        this.survey = survey;
    }

    /**
     * Checks and applies changes.
     *
     * @param script the changes
     * @param author operator who makes the changes
     * @param dryRun true to only check the changes
     * @param listener receives the answer, on the loop
     */
    public void run(Script script, String author, boolean dryRun, Consumer<CommandAnswer> listener) {
        Configuration current = state.configuration().current();
        if (!state.configuration().isKnown()) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.NOT_APPENDED,
                    "this host does not know the configuration in force yet",
                    current.version(),
                    List.of()));
            return;
        }
        if (!state.configuration().isHistoryOpen()) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.NOT_APPENDED,
                    "nothing was changed: the platform's log was restored from an older copy, and the configuration in"
                            + " force is not written to it yet; try again in a few seconds",
                    current.version(),
                    List.of()));
            return;
        }
        List<Finding> findings = new ArrayList<>();
        Configuration next = current.apply(current.version(), script.changes(), findings);
        if (!findings.isEmpty()) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.INVALID, "nothing was changed", current.version(), findings));
        } else if (script.ifVersion() != Script.ANY_VERSION && script.ifVersion() != current.version()) {
            listener.accept(conflict(script.ifVersion(), current.version()));
        } else if (dryRun) {
            listener.accept(new CommandAnswer(
                    CommandAnswer.Result.WOULD_BE_ACCEPTED,
                    "nothing was changed: dry run",
                    "",
                    current.version(),
                    List.of(),
                    List.of(difference(current, next))));
        } else {
            append(script, author, listener);
        }
    }

    private CommandAnswer conflict(long basedOn, long currentVersion) {
        List<List<String>> rows = new ArrayList<>();
        for (ChangeVerdict verdict : state.configuration().verdicts()) {
            boolean later = verdict.position() > basedOn;
            if (later && verdict.decision() == ChangeVerdict.Decision.ACCEPTED) {
                rows.add(OperatorTables.verdictRow(verdict));
            }
        }
        CommandAnswer.Table table =
                new CommandAnswer.Table("changes that came first", OperatorTables.VERDICT_COLUMNS, rows);
        return new CommandAnswer(
                CommandAnswer.Result.CONFLICT,
                "nothing was changed: based on version " + basedOn + " but version " + currentVersion + " is in force",
                "",
                currentVersion,
                List.of(),
                List.of(table));
    }

    private static CommandAnswer.Table difference(Configuration current, Configuration next) {
        List<String> before =
                current.asChanges().stream().map(ConfigurationChange::text).toList();
        List<String> after =
                next.asChanges().stream().map(ConfigurationChange::text).toList();
        List<List<String>> rows = new ArrayList<>();
        before.stream().filter(text -> !after.contains(text)).forEach(text -> rows.add(List.of("-", text)));
        after.stream().filter(text -> !before.contains(text)).forEach(text -> rows.add(List.of("+", text)));
        return new CommandAnswer.Table("difference", List.of("", "statement"), rows);
    }

    private void append(Script script, String author, Consumer<CommandAnswer> listener) {
        String change = state.membership().self().host() + "-" + nextChangeNumber++;
        long basedOn = state.configuration().current().version();
        configuration.change(
                change,
                basedOn,
                author,
                script.changes(),
                MAX_VERDICT_WAIT_MICROS,
                (verdict, append) -> onVerdict(new AppendedChange(change, basedOn), verdict, append, listener));
    }

    /**
     * A change whose record was sent to the log.
     *
     * @param change identifier of the change
     * @param basedOn version that the change is based on
     */
    private record AppendedChange(String change, long basedOn) {}

    private void onVerdict(
            AppendedChange appended,
            ChangeVerdict verdict,
            PlatformLog.AppendResult append,
            Consumer<CommandAnswer> listener) {
        String change = appended.change();
        long version = state.configuration().current().version();
        if (append == PlatformLog.AppendResult.NOT_APPENDED) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.NOT_APPENDED,
                    "nothing was changed: the platform's log did not accept the record",
                    version,
                    List.of()));
        } else if (verdict == null) {
            listener.accept(new CommandAnswer(
                    CommandAnswer.Result.NOT_KNOWN_YET,
                    "not known yet; find out with: show change " + change,
                    change,
                    version,
                    List.of(),
                    List.of()));
        } else if (verdict.decision() == ChangeVerdict.Decision.ACCEPTED) {
            long deadlineMicros = loop.nowMicros() + MAX_DOMAIN_WAIT_MICROS;
            awaitDomains(change, verdict.position(), survey.sample(), deadlineMicros, listener);
        } else if (verdict.decision() == ChangeVerdict.Decision.CONFLICT) {
            listener.accept(conflict(appended.basedOn(), verdict.version()));
        } else {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.INVALID, "nothing was changed", version, verdict.findings()));
        }
    }

    private void awaitDomains(
            String change, long offset, List<Member> asked, long deadlineMicros, Consumer<CommandAnswer> listener) {
        survey.ask(new ControlMessages.StatusRequest(), asked, answers -> {
            Map<String, DomainProgress> domains = progress(asked, answers, offset);
            boolean complete = domains.values().stream().allMatch(DomainProgress::isComplete);
            if (complete || loop.nowMicros() >= deadlineMicros) {
                listener.accept(accepted(change, offset, domains));
            } else {
                loop.schedule(
                        DOMAIN_POLL_PERIOD_MICROS, () -> awaitDomains(change, offset, asked, deadlineMicros, listener));
            }
        });
    }

    private static final class DomainProgress {
        private int hosts;
        private int applied;
        private final TreeSet<String> lagging = new TreeSet<>();

        private boolean isComplete() {
            return applied == hosts;
        }
    }

    private Map<String, DomainProgress> progress(List<Member> asked, List<PeerMessage> answers, long offset) {
        Map<String, DomainProgress> domains = new TreeMap<>();
        List<Member> members = new ArrayList<>(asked);
        members.add(state.membership().self());
        for (Member member : members) {
            DomainProgress domain = domains.computeIfAbsent(member.domain(), name -> new DomainProgress());
            domain.hosts++;
            domain.lagging.add(member.host().name());
        }
        Member self = state.membership().self();
        markApplied(domains, self.domain(), self.host().name());
        for (PeerMessage message : answers) {
            if (message instanceof ControlMessages.StatusAnswer answer
                    && answer.status().coveredPosition() >= offset) {
                markApplied(domains, answer.status().domain(), answer.status().host());
            }
        }
        return domains;
    }

    private static void markApplied(Map<String, DomainProgress> domains, String domainName, String host) {
        DomainProgress domain = domains.get(domainName);
        if (domain != null && domain.lagging.remove(host)) {
            domain.applied++;
        }
    }

    private CommandAnswer accepted(String change, long offset, Map<String, DomainProgress> domains) {
        List<List<String>> rows = new ArrayList<>();
        List<String> laggingDomains = new ArrayList<>();
        domains.forEach((name, domain) -> {
            String lagging = String.join(" ", domain.lagging);
            rows.add(List.of(name, Integer.toString(domain.hosts), Integer.toString(domain.applied), lagging));
            if (!domain.isComplete()) {
                laggingDomains.add(name);
            }
        });
        String message = laggingDomains.isEmpty()
                ? "version " + offset + " is in force in every failure domain"
                : "version " + offset + " is accepted and cannot revert; not yet on every host of "
                        + String.join(", ", laggingDomains);
        CommandAnswer.Table table = new CommandAnswer.Table(
                "failure domains", List.of("domain", "hosts asked", "in force", "lagging"), rows);
        return new CommandAnswer(CommandAnswer.Result.ACCEPTED, message, change, offset, List.of(), List.of(table));
    }
}
