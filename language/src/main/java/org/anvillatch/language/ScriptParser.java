package org.anvillatch.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.Vocabulary;
import org.antlr.v4.runtime.misc.IntervalSet;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.language.grammar.OperatorLexer;
import org.anvillatch.language.grammar.OperatorParser;

/**
 * Parses scripts of the operators' language. Stateless and thread safe.
 */
public final class ScriptParser {
    /** Longest script, in characters. */
    public static final int LONGEST_SCRIPT = 100_000;

    /** Most statements in a script. */
    public static final int MOST_STATEMENTS = 1_000;

    private static final int MOST_FINDINGS = 20;

    private ScriptParser() {}

    /**
     * Parses a script.
     *
     * @param text the script
     * @param findings receives everything that is wrong, with line and column
     * @return the script; meaningless if there are findings
     */
    public static Script parse(String text, List<Finding> findings) {
        if (text.length() > LONGEST_SCRIPT) {
            findings.add(new Finding(
                    "line 1, column 1", "script of " + text.length() + " characters exceeds " + LONGEST_SCRIPT));
            return new Script(Script.NO_CONDITION, List.of(), List.of());
        }
        OperatorLexer lexer = new OperatorLexer(CharStreams.fromString(text));
        OperatorParser parser = new OperatorParser(new CommonTokenStream(lexer));
        Findings listener = new Findings(findings);
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        OperatorParser.ScriptContext tree = parser.script();
        if (!findings.isEmpty()) {
            return new Script(Script.NO_CONDITION, List.of(), List.of());
        }
        return new ScriptBuilder(findings).build(tree);
    }

    private static final class Findings extends BaseErrorListener {
        private final List<Finding> findings;

        private Findings(List<Finding> findings) {
            this.findings = findings;
        }

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object offending,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            if (findings.size() >= MOST_FINDINGS) {
                return;
            }
            String place = "line " + line + ", column " + (column + 1);
            String found = offending instanceof Token token ? describe(token) : "this text";
            findings.add(
                    new Finding(place, found + " is not expected here" + hint((Parser) recognizer, offending, cause)));
        }

        private static String describe(Token token) {
            return token.getType() == Token.EOF ? "the end" : "\"" + token.getText() + "\"";
        }

        private static String hint(Parser parser, Object offending, RecognitionException cause) {
            List<String> expected = expected(parser, cause);
            if (expected.isEmpty()) {
                return "";
            }
            String text = offending instanceof Token token ? token.getText() : "";
            String nearest = NearestWord.of(text, expected);
            String list = String.join(", ", expected);
            return nearest == null ? "; expected " + list : "; did you mean \"" + nearest + "\"? Expected " + list;
        }

        private static List<String> expected(Parser parser, RecognitionException cause) {
            IntervalSet tokens = cause == null ? parser.getExpectedTokens() : cause.getExpectedTokens();
            List<String> words = new ArrayList<>();
            boolean anyName = tokens != null && tokens.contains(OperatorLexer.WORD);
            if (anyName) {
                words.add("a name");
            }
            for (int token : tokens == null ? new int[0] : tokens.toArray()) {
                boolean keywordAsName = anyName && token != OperatorLexer.NUMBER;
                if (!keywordAsName && token > 0) {
                    words.add(wordOf(parser.getVocabulary(), token));
                }
            }
            return words;
        }

        private static String wordOf(Vocabulary vocabulary, int token) {
            if (token == OperatorLexer.NUMBER) {
                return "a number";
            }
            String literal = vocabulary.getLiteralName(token);
            return literal == null
                    ? vocabulary.getSymbolicName(token).toLowerCase(Locale.ROOT)
                    : literal.replace("'", "");
        }
    }

    static String placeOf(Token token) {
        return "line " + token.getLine() + ", column " + (token.getCharPositionInLine() + 1);
    }
}
