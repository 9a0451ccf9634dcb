package org.anvillatch.operator;

import java.io.IOException;
import java.util.function.Function;

import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/**
 * Interactive prompt with history and completion. Not thread safe.
 */
final class Prompt {
    private static final String PROMPT_TEXT = "anvillatch> ";

    private Prompt() {}

    /**
     * Reads and runs scripts until the end of the input.
     *
     * @param runner runs a script
     * @return exit status of the last script
     * @throws IOException if the terminal cannot be opened
     */
    static ExitStatus run(Function<String, ExitStatus> runner) throws IOException {
        try (Terminal terminal = TerminalBuilder.terminal()) {
            LineReader reader = LineReaderBuilder.builder()
                    .terminal(terminal)
                    .completer(new StringsCompleter(
                            "show configuration",
                            "show history",
                            "show hosts",
                            "show shed",
                            "show quarantine",
                            "show teams",
                            "team",
                            "remove team",
                            "show change",
                            "explain request",
                            "importance order",
                            "operation",
                            "retry bound",
                            "drain host",
                            "drain domain",
                            "return host",
                            "return domain",
                            "quarantine",
                            "release",
                            "if version",
                            "help"))
                    .build();
            return runAll(reader, runner);
        }
    }

    private static ExitStatus runAll(LineReader reader, Function<String, ExitStatus> runner) {
        ExitStatus last = ExitStatus.DONE;
        while (true) {
            try {
                String line = reader.readLine(PROMPT_TEXT);
                if (!line.isBlank()) {
                    last = runner.apply(line);
                }
            } catch (UserInterruptException | EndOfFileException endOfInput) {
                return last;
            }
        }
    }
}
