package org.anvillatch.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.antlr.v4.runtime.ParserRuleContext;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.ConfigurationChange.DrainScope;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.configuration.TeamPolicy;
import org.anvillatch.language.grammar.OperatorBaseVisitor;
import org.anvillatch.language.grammar.OperatorParser;

/**
 * Builds a {@link Script} from a parse tree. Not thread safe: an instance builds one script.
 */
final class ScriptBuilder extends OperatorBaseVisitor<Void> {
    private static final int DEFAULT_DEADLINE_MILLIS = 1_000;
    private static final int DEFAULT_MAX_GROUPS = 20;
    private static final int DEFAULT_LAST_SECONDS = 3_600;
    private static final int MAX_NUMBER = 1_000_000_000;

    private final List<Finding> findings;
    private final List<ConfigurationChange> changes = new ArrayList<>();
    private final List<Question> questions = new ArrayList<>();
    private long ifVersion = Script.ANY_VERSION;

    ScriptBuilder(List<Finding> findings) {
        this.findings = findings;
    }

    Script build(OperatorParser.ScriptContext tree) {
        if (tree.statement().size() > ScriptParser.MAX_STATEMENTS) {
            findings.add(new Finding(
                    ScriptParser.positionOf(tree.statement(ScriptParser.MAX_STATEMENTS).start),
                    "a script holds at most " + ScriptParser.MAX_STATEMENTS + " statements"));
        } else {
            visit(tree);
            checkConsistency(tree);
        }
        return new Script(ifVersion, List.copyOf(changes), List.copyOf(questions));
    }

    private void checkConsistency(OperatorParser.ScriptContext tree) {
        String position = ScriptParser.positionOf(tree.start);
        if (!changes.isEmpty() && !questions.isEmpty()) {
            findings.add(new Finding(position, "a script holds either changes or questions, not both"));
        }
        if (changes.isEmpty() && tree.condition() != null) {
            findings.add(new Finding(position, "\"if version\" needs a change"));
        }
    }

    private int number(OperatorParser.NumberContext context) {
        String text = context.getText();
        if (text.length() <= 10 && Long.parseLong(text) <= MAX_NUMBER) {
            return Integer.parseInt(text);
        }
        findings.add(new Finding(ScriptParser.positionOf(context.start), "number " + text + " exceeds " + MAX_NUMBER));
        return 0;
    }

    @Override
    public Void visitCondition(OperatorParser.ConditionContext context) {
        ifVersion = number(context.number());
        return null;
    }

    @Override
    public Void visitImportanceOrder(OperatorParser.ImportanceOrderContext context) {
        List<String> names =
                context.name().stream().map(ParserRuleContext::getText).toList();
        changes.add(new ConfigurationChange.ImportanceOrder(names));
        return null;
    }

    @Override
    public Void visitOperation(OperatorParser.OperationContext context) {
        String importance = null;
        Boolean idempotent = null;
        int deadlineMillis = DEFAULT_DEADLINE_MILLIS;
        for (OperatorParser.OperationPartContext part : context.operationPart()) {
            if (part.name() != null) {
                importance = part.name().getText();
            } else if (part.number() != null) {
                deadlineMillis = number(part.number());
            } else {
                idempotent = part.NOT() == null;
            }
        }
        String position = ScriptParser.positionOf(context.start);
        if (importance == null) {
            findings.add(new Finding(position, "operation needs \"importance NAME\""));
        }
        if (idempotent == null) {
            findings.add(new Finding(position, "operation needs \"idempotent\" or \"not idempotent\""));
        }
        OperationPolicy policy = new OperationPolicy(importance, Boolean.TRUE.equals(idempotent), deadlineMillis);
        changes.add(new ConfigurationChange.Operation(
                context.name(0).getText(), context.name(1).getText(), policy));
        return null;
    }

    @Override
    public Void visitRetryBound(OperatorParser.RetryBoundContext context) {
        changes.add(new ConfigurationChange.RetryBound(number(context.number())));
        return null;
    }

    private static DrainScope scope(OperatorParser.ScopeContext context) {
        return context.HOST() != null ? DrainScope.HOST : DrainScope.DOMAIN;
    }

    @Override
    public Void visitDrain(OperatorParser.DrainContext context) {
        changes.add(new ConfigurationChange.Drain(
                scope(context.scope()), context.name().getText(), true));
        return null;
    }

    @Override
    public Void visitReturnToService(OperatorParser.ReturnToServiceContext context) {
        changes.add(new ConfigurationChange.Drain(
                scope(context.scope()), context.name().getText(), false));
        return null;
    }

    @Override
    public Void visitTeam(OperatorParser.TeamContext context) {
        String importance = null;
        int rate = 0;
        int burst = 0;
        List<String> hashes = new ArrayList<>();
        for (OperatorParser.TeamPartContext part : context.teamPart()) {
            if (part.IMPORTANCE() != null) {
                importance = part.name(0).getText();
            } else if (part.RATE() != null) {
                rate = number(part.number(0));
                burst = part.BURST() == null ? rate : number(part.number(1));
            } else {
                part.name().forEach(name -> hashes.add(name.getText().toLowerCase(Locale.ROOT)));
            }
        }
        changes.add(new ConfigurationChange.Team(
                context.name().getText(), new TeamPolicy(importance, rate, burst, hashes)));
        return null;
    }

    @Override
    public Void visitRemoveTeam(OperatorParser.RemoveTeamContext context) {
        changes.add(new ConfigurationChange.TeamRemoval(context.name().getText()));
        return null;
    }

    @Override
    public Void visitShowTeams(OperatorParser.ShowTeamsContext context) {
        questions.add(new Question.ShowTeams());
        return null;
    }

    @Override
    public Void visitQuarantine(OperatorParser.QuarantineContext context) {
        changes.add(new ConfigurationChange.Quarantine(context.name().getText(), true));
        return null;
    }

    @Override
    public Void visitRelease(OperatorParser.ReleaseContext context) {
        changes.add(new ConfigurationChange.Quarantine(context.name().getText(), false));
        return null;
    }

    @Override
    public Void visitShowConfiguration(OperatorParser.ShowConfigurationContext context) {
        questions.add(new Question.ShowConfiguration());
        return null;
    }

    @Override
    public Void visitShowHistory(OperatorParser.ShowHistoryContext context) {
        questions.add(new Question.ShowHistory());
        return null;
    }

    @Override
    public Void visitShowHosts(OperatorParser.ShowHostsContext context) {
        questions.add(new Question.ShowHosts());
        return null;
    }

    @Override
    public Void visitShowQuarantine(OperatorParser.ShowQuarantineContext context) {
        questions.add(new Question.ShowQuarantine());
        return null;
    }

    @Override
    public Void visitShowShed(OperatorParser.ShowShedContext context) {
        Question.Grouping grouping = context.grouping() == null
                ? Question.Grouping.OPERATION
                : Question.Grouping.valueOf(context.grouping().getText().toUpperCase(Locale.ROOT));
        int numberIndex = 0;
        int top = context.TOP() == null ? DEFAULT_MAX_GROUPS : number(context.number(numberIndex++));
        int lastSeconds = context.LAST() == null ? DEFAULT_LAST_SECONDS : number(context.number(numberIndex));
        questions.add(new Question.ShowShed(grouping, top, lastSeconds));
        return null;
    }

    @Override
    public Void visitShowChange(OperatorParser.ShowChangeContext context) {
        questions.add(new Question.ShowChange(context.name().getText()));
        return null;
    }

    @Override
    public Void visitExplain(OperatorParser.ExplainContext context) {
        questions.add(new Question.Explain(context.name().getText()));
        return null;
    }

    @Override
    public Void visitHelp(OperatorParser.HelpContext context) {
        questions.add(new Question.Help());
        return null;
    }
}
