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
 * Carries out changes of the configuration. Owned by the decision loop.
 *
 * <p>Invariant: {@link CommandAnswer.Result#ACCEPTED} is answered only after the change's record was reduced, and it
 * names each failure domain in which a host that was asked does not have it yet.
 */
public final class ChangeCommand {
    private static final long VERDICT_WAIT_MICROS = 2_500_000;
    private static final long DOMAIN_WAIT_MICROS = 3_000_000;
    private static final long DOMAIN_POLL_MICROS = 50_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final ConfigurationService configuration;
    private final HostSurvey survey;
    private long nextChange = 1;

    /**
     * Creates the command.
     *
     * @param loop runs callbacks
     * @param state decision state of the host
     * @param configuration appends changes
     * @param survey asks other hosts
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
     * @param author operator who makes them
     * @param dryRun true to check only
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
        List<Finding> findings = new ArrayList<>();
        Configuration next = current.apply(current.version(), script.changes(), findings);
        if (!findings.isEmpty()) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.INVALID, "nothing was changed", current.version(), findings));
        } else if (script.ifVersion() != Script.NO_CONDITION && script.ifVersion() != current.version()) {
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

    private CommandAnswer conflict(long basedOn, long inForce) {
        List<List<String>> rows = new ArrayList<>();
        for (ChangeVerdict verdict : state.configuration().history()) {
            boolean later = verdict.offset() > basedOn;
            if (later && verdict.decision() == ChangeVerdict.Decision.ACCEPTED) {
                rows.add(OperatorTables.verdictRow(verdict));
            }
        }
        CommandAnswer.Table table =
                new CommandAnswer.Table("changes that came first", OperatorTables.VERDICT_COLUMNS, rows);
        return new CommandAnswer(
                CommandAnswer.Result.CONFLICT,
                "nothing was changed: based on version " + basedOn + " but version " + inForce + " is in force",
                "",
                inForce,
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
        String change = state.membership().self().host() + "-" + nextChange++;
        long basedOn = state.configuration().current().version();
        configuration.change(
                change,
                basedOn,
                author,
                script.changes(),
                VERDICT_WAIT_MICROS,
                (verdict, append) -> decided(new Appended(change, basedOn), verdict, append, listener));
    }

    /**
     * A change whose record was given to the log.
     *
     * @param change identity of the change
     * @param basedOn version it is based on
     */
    private record Appended(String change, long basedOn) {}

    private void decided(
            Appended appended,
            ChangeVerdict verdict,
            PlatformLog.AppendResult append,
            Consumer<CommandAnswer> listener) {
        String change = appended.change();
        long version = state.configuration().current().version();
        if (append == PlatformLog.AppendResult.NOT_APPENDED) {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.NOT_APPENDED,
                    "nothing was changed: the platform's log does not take records",
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
            long until = loop.nowMicros() + DOMAIN_WAIT_MICROS;
            awaitDomains(change, verdict.offset(), survey.sample(), until, listener);
        } else if (verdict.decision() == ChangeVerdict.Decision.CONFLICT) {
            listener.accept(conflict(appended.basedOn(), verdict.version()));
        } else {
            listener.accept(CommandAnswer.rejected(
                    CommandAnswer.Result.INVALID, "nothing was changed", version, verdict.findings()));
        }
    }

    private void awaitDomains(
            String change, long offset, List<Member> asked, long untilMicros, Consumer<CommandAnswer> listener) {
        survey.ask(new ControlMessages.StatusRequest(), asked, answers -> {
            Map<String, DomainProgress> domains = progress(asked, answers, offset);
            boolean complete = domains.values().stream().allMatch(DomainProgress::isComplete);
            if (complete || loop.nowMicros() >= untilMicros) {
                listener.accept(accepted(change, offset, domains));
            } else {
                loop.schedule(DOMAIN_POLL_MICROS, () -> awaitDomains(change, offset, asked, untilMicros, listener));
            }
        });
    }

    private static final class DomainProgress {
        private int hosts;
        private int inForce;
        private final TreeSet<String> lagging = new TreeSet<>();

        private boolean isComplete() {
            return inForce == hosts;
        }
    }

    private Map<String, DomainProgress> progress(List<Member> asked, List<PeerMessage> answers, long offset) {
        Map<String, DomainProgress> domains = new TreeMap<>();
        List<Member> counted = new ArrayList<>(asked);
        counted.add(state.membership().self());
        for (Member member : counted) {
            DomainProgress domain = domains.computeIfAbsent(member.domain(), name -> new DomainProgress());
            domain.hosts++;
            domain.lagging.add(member.host().name());
        }
        Member self = state.membership().self();
        confirm(domains, self.domain(), self.host().name());
        for (PeerMessage message : answers) {
            if (message instanceof ControlMessages.StatusAnswer answer
                    && answer.status().coveredOffset() >= offset) {
                confirm(domains, answer.status().domain(), answer.status().host());
            }
        }
        return domains;
    }

    private static void confirm(Map<String, DomainProgress> domains, String domainName, String host) {
        DomainProgress domain = domains.get(domainName);
        if (domain != null && domain.lagging.remove(host)) {
            domain.inForce++;
        }
    }

    private CommandAnswer accepted(String change, long offset, Map<String, DomainProgress> domains) {
        List<List<String>> rows = new ArrayList<>();
        List<String> behind = new ArrayList<>();
        domains.forEach((name, domain) -> {
            String lagging = String.join(" ", domain.lagging);
            rows.add(List.of(name, Integer.toString(domain.hosts), Integer.toString(domain.inForce), lagging));
            if (!domain.isComplete()) {
                behind.add(name);
            }
        });
        String message = behind.isEmpty()
                ? "version " + offset + " is in force in every failure domain"
                : "version " + offset + " is accepted and cannot revert; not yet on every host of "
                        + String.join(", ", behind);
        CommandAnswer.Table table = new CommandAnswer.Table(
                "failure domains", List.of("domain", "hosts asked", "in force", "lagging"), rows);
        return new CommandAnswer(CommandAnswer.Result.ACCEPTED, message, change, offset, List.of(), List.of(table));
    }
}
