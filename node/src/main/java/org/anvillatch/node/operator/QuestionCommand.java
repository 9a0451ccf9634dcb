package org.anvillatch.node.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.anvillatch.decision.configuration.ChangeVerdict;
import org.anvillatch.language.Question;
import org.anvillatch.node.decisionlog.Decision;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Answers operators' questions from the state of this host and of other hosts. Not thread safe: all methods are called
 * on the decision loop.
 */
public final class QuestionCommand {
    private final HostState state;
    private final HostSurvey survey;
    private final DecisionLog log;
    private final Supplier<HostStatus> ownStatus;

    /**
     * Creates the command.
     *
     * @param state decision state of the host
     * @param survey asks other hosts for their state and decisions
     * @param log keeps the decisions of this host
     * @param ownStatus returns the state of this host
     */
    public QuestionCommand(HostState state, HostSurvey survey, DecisionLog log, Supplier<HostStatus> ownStatus) {
        this.state = state;
        this.survey = survey;
        this.log = log;
        this.ownStatus = ownStatus;
    }

    /**
     * Answers the questions in order.
     *
     * @param questions the questions
     * @param listener receives the answer, on the loop
     */
    public void run(List<Question> questions, Consumer<CommandAnswer> listener) {
        answerNext(questions, 0, new ArrayList<>(), listener);
    }

    private void answerNext(
            List<Question> questions, int index, List<CommandAnswer.Table> tables, Consumer<CommandAnswer> listener) {
        if (index == questions.size()) {
            listener.accept(new CommandAnswer(
                    CommandAnswer.Result.ANSWERED,
                    "answered by " + state.membership().self().host().name(),
                    "",
                    state.configuration().current().version(),
                    List.of(),
                    List.copyOf(tables)));
            return;
        }
        answer(questions.get(index), answered -> {
            tables.addAll(answered);
            answerNext(questions, index + 1, tables, listener);
        });
    }

    private void answer(Question question, Consumer<List<CommandAnswer.Table>> listener) {
        if (question instanceof Question.ShowConfiguration) {
            withHosts(hosts -> listener.accept(List.of(
                    OperatorTables.statements(state.configuration().current()), OperatorTables.domains(hosts))));
        } else if (question instanceof Question.ShowHosts) {
            withHosts(hosts -> listener.accept(List.of(OperatorTables.hosts(hosts))));
        } else if (question instanceof Question.ShowTeams) {
            listener.accept(List.of(OperatorTables.teams(state.configuration().current())));
        } else if (question instanceof Question.ShowHistory) {
            listener.accept(List.of(OperatorTables.history(state.configuration().verdicts())));
        } else if (question instanceof Question.ShowChange show) {
            ChangeVerdict verdict = state.configuration().verdictOf(show.change());
            listener.accept(List.of(OperatorTables.history(verdict == null ? List.of() : List.of(verdict))));
        } else if (question instanceof Question.ShowQuarantine) {
            listener.accept(List.of(quarantine()));
        } else if (question instanceof Question.ShowShed shed) {
            withDecisions(
                    "",
                    refusals -> listener.accept(List.of(OperatorTables.shed(
                            shed,
                            refusals,
                            state.configuration().current().importances(),
                            System.currentTimeMillis()))));
        } else if (question instanceof Question.Explain explain) {
            withDecisions(
                    explain.request(),
                    decisions -> listener.accept(List.of(OperatorTables.decisions(explain.request(), decisions))));
        } else {
            listener.accept(List.of(OperatorTables.help()));
        }
    }

    private CommandAnswer.Table quarantine() {
        List<List<String>> rows = new ArrayList<>();
        state.suspects().quarantined().forEach(fingerprint -> rows.add(List.of(fingerprint, "crashed two endpoints")));
        state.configuration()
                .current()
                .quarantined()
                .forEach(fingerprint -> rows.add(List.of(fingerprint, "by an operator")));
        return new CommandAnswer.Table("quarantine", List.of("request", "why"), rows);
    }

    private void withHosts(Consumer<List<HostStatus>> listener) {
        survey.ask(new ControlMessages.StatusRequest(), answers -> {
            List<HostStatus> hosts = new ArrayList<>();
            hosts.add(ownStatus.get());
            for (PeerMessage message : answers) {
                if (message instanceof ControlMessages.StatusAnswer answer) {
                    hosts.add(answer.status());
                }
            }
            listener.accept(hosts);
        });
    }

    private void withDecisions(String request, Consumer<List<Decision>> listener) {
        survey.ask(new ControlMessages.DecisionsRequest(request), answers -> {
            List<Decision> decisions = new ArrayList<>(localDecisions(request));
            for (PeerMessage message : answers) {
                if (message instanceof ControlMessages.DecisionsAnswer answer) {
                    decisions.addAll(answer.decisions());
                }
            }
            listener.accept(decisions);
        });
    }

    /**
     * Returns decisions that this host keeps in memory.
     *
     * @param request identifier of one root request, or empty for all refusals
     * @return the decisions, oldest first
     */
    public List<Decision> localDecisions(String request) {
        return request.isEmpty() ? log.refusals() : log.decisionsOf(request);
    }
}
