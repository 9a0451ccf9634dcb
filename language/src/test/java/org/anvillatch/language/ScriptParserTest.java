package org.anvillatch.language;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.configuration.TeamPolicy;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ScriptParserTest {
    private final List<Finding> findings = new ArrayList<>();

    private Script parse(String text) {
        return ScriptParser.parse(text, findings);
    }

    private String firstFinding(String text) {
        parse(text);
        assertThat(findings).isNotEmpty();
        return findings.get(0).toString();
    }

    @Test
    void readsChanges() {
        Script script = parse("if version 4 importance order bulk < normal;\n"
                + "operation desk/apply importance normal not idempotent deadline 1500 ms -- billed\n;"
                + "drain domain pal-a");
        assertThat(findings).isEmpty();
        assertThat(script.ifVersion()).isEqualTo(4);
        assertThat(script.changes())
                .containsExactly(
                        new ConfigurationChange.ImportanceOrder(List.of("bulk", "normal")),
                        new ConfigurationChange.Operation("desk", "apply", new OperationPolicy("normal", false, 1_500)),
                        new ConfigurationChange.Drain(ConfigurationChange.DrainScope.DOMAIN, "pal-a", true))
                .inOrder();
    }

    /** Guards against hashes that are read as numbers, and against declarations that history cannot show. */
    @Test
    void readsTeams() {
        String first = "1".repeat(64);
        String second = "a".repeat(64);
        ConfigurationChange team =
                new ConfigurationChange.Team("blue", new TeamPolicy("normal", 50, 100, List.of(first, second)));
        Script script = parse(team.text() + "; team red; team rated rate 3; remove team team");
        assertThat(findings).isEmpty();
        assertThat(script.changes())
                .containsExactly(
                        team,
                        new ConfigurationChange.Team("red", new TeamPolicy(null, 0, 0, List.of())),
                        new ConfigurationChange.Team("rated", new TeamPolicy(null, 3, 3, List.of())),
                        new ConfigurationChange.TeamRemoval("team"))
                .inOrder();
        assertThat(parse("show teams").questions()).containsExactly(new Question.ShowTeams());
    }

    @Test
    void readsQuestions() {
        Script script = parse("show shed by host top 3 last 60 seconds; EXPLAIN REQUEST 2-demo-17");
        assertThat(script.questions())
                .containsExactly(
                        new Question.ShowShed(Question.Grouping.HOST, 3, 60), new Question.Explain("2-demo-17"))
                .inOrder();
    }

    @Test
    void keywordsMayBeNames() {
        assertThat(parse("drain host order").changes())
                .containsExactly(new ConfigurationChange.Drain(ConfigurationChange.DrainScope.HOST, "order", true));
    }

    @Test
    void suggestsTheClosestKeyword() {
        String finding = firstFinding("retry bound 3;\nshow confguration");
        assertThat(finding).contains("line 2, column 6");
        assertThat(finding).contains("did you mean \"configuration\"");
    }

    @Test
    void suggestsTheClosestKeywordAtTheStart() {
        assertThat(firstFinding("drian host a")).contains("did you mean \"drain\"");
    }

    @Test
    void reportsEveryMissingPart() {
        parse("operation a/b; operation c/d importance x");
        assertThat(findings).hasSize(3);
    }

    @Test
    void rejectsMixedScripts() {
        assertThat(firstFinding("show hosts; retry bound 2")).contains("either changes or questions");
    }

    @Test
    void rejectsHugeNumbers() {
        assertThat(firstFinding("retry bound 99999999999999999999")).contains("exceeds");
    }

    @Test
    void everyChangeRoundTripsThroughItsText() {
        Script script = parse("importance order a < b; operation s/o importance b idempotent deadline 9 ms;"
                + "retry bound 7; drain host h-1; return domain d; quarantine 00ff; release 00ff");
        assertThat(findings).isEmpty();
        for (ConfigurationChange change : script.changes()) {
            assertThat(parse(change.text()).changes()).containsExactly(change);
        }
        Configuration configuration = Configuration.EMPTY.apply(1, script.changes(), findings);
        assertThat(configuration.operations()).hasSize(1);
    }

    @Provide
    Arbitrary<String> almostScripts() {
        return Arbitraries.of(
                        "show",
                        "drain",
                        "host",
                        "operation",
                        "/",
                        ";",
                        "<",
                        "importance",
                        "order",
                        "if",
                        "version",
                        "7",
                        "a-b",
                        "\"",
                        "\u0000",
                        "é",
                        "--",
                        "\n",
                        "retry bound",
                        "not",
                        "idempotent",
                        "deadline",
                        "ms",
                        "last")
                .list()
                .ofMaxSize(30)
                .map(words -> String.join(" ", words));
    }

    @Property(tries = 2000, seed = "5")
    void neverFailsOnAlmostValidText(@ForAll("almostScripts") String text) {
        List<Finding> parseFindings = new ArrayList<>();
        Script script = ScriptParser.parse(text, parseFindings);
        assertThat(parseFindings.isEmpty()
                        && script.changes().isEmpty()
                        && script.questions().isEmpty())
                .isFalse();
    }

    @Property(tries = 2000, seed = "6")
    void neverFailsOnAnyText(@ForAll String text) {
        ScriptParser.parse(text, new ArrayList<>());
    }
}
