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
    /** Maximum length of a script, in characters. */
    public static final int MAX_SCRIPT_CHARACTERS = 100_000;

    /** Maximum number of statements in a script. */
    public static final int MAX_STATEMENTS = 1_000;

    private static final int MAX_FINDINGS = 20;

    private ScriptParser() {}

    /**
     * Parses a script.
     *
     * @param text the script
     * @param findings receives the errors, with line and column
     * @return the script, which must not be used if there are findings
     */
    public static Script parse(String text, List<Finding> findings) {
        if (text.length() > MAX_SCRIPT_CHARACTERS) {
            findings.add(new Finding(
                    "line 1, column 1", "script of " + text.length() + " characters exceeds " + MAX_SCRIPT_CHARACTERS));
            return new Script(Script.ANY_VERSION, List.of(), List.of());
        }
        OperatorLexer lexer = new OperatorLexer(CharStreams.fromString(text));
        OperatorParser parser = new OperatorParser(new CommonTokenStream(lexer));
        FindingCollector listener = new FindingCollector(findings);
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        OperatorParser.ScriptContext tree = parser.script();
        if (!findings.isEmpty()) {
            return new Script(Script.ANY_VERSION, List.of(), List.of());
        }
        return new ScriptBuilder(findings).build(tree);
    }

    private static final class FindingCollector extends BaseErrorListener {
        private final List<Finding> findings;

        private FindingCollector(List<Finding> findings) {
            this.findings = findings;
        }

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object offendingSymbol,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            if (findings.size() >= MAX_FINDINGS) {
                return;
            }
            String position = "line " + line + ", column " + (column + 1);
            String found = offendingSymbol instanceof Token token ? describe(token) : "this text";
            findings.add(new Finding(
                    position, found + " is not expected here" + hint((Parser) recognizer, offendingSymbol, cause)));
        }

        private static String describe(Token token) {
            return token.getType() == Token.EOF ? "the end" : "\"" + token.getText() + "\"";
        }

        private static String hint(Parser parser, Object offendingSymbol, RecognitionException cause) {
            List<String> expected = expectedWords(parser, cause);
            if (expected.isEmpty()) {
                return "";
            }
            String text = offendingSymbol instanceof Token token ? token.getText() : "";
            String nearest = NearestWord.of(text, expected);
            String expectedList = String.join(", ", expected);
            return nearest == null
                    ? "; expected " + expectedList
                    : "; did you mean \"" + nearest + "\"? Expected " + expectedList;
        }

        private static List<String> expectedWords(Parser parser, RecognitionException cause) {
            IntervalSet tokens = cause == null ? parser.getExpectedTokens() : cause.getExpectedTokens();
            List<String> words = new ArrayList<>();
            boolean nameAllowed = tokens != null && tokens.contains(OperatorLexer.WORD);
            if (nameAllowed) {
                words.add("a name");
            }
            for (int token : tokens == null ? new int[0] : tokens.toArray()) {
                boolean coveredByName = nameAllowed && token != OperatorLexer.NUMBER;
                if (!coveredByName && token > 0) {
                    words.add(displayName(parser.getVocabulary(), token));
                }
            }
            return words;
        }

        private static String displayName(Vocabulary vocabulary, int token) {
            if (token == OperatorLexer.NUMBER) {
                return "a number";
            }
            String literal = vocabulary.getLiteralName(token);
            return literal == null
                    ? vocabulary.getSymbolicName(token).toLowerCase(Locale.ROOT)
                    : literal.replace("'", "");
        }
    }

    static String positionOf(Token token) {
        return "line " + token.getLine() + ", column " + (token.getCharPositionInLine() + 1);
    }
}
