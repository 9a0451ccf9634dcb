package org.anvillatch.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * Entry point of {@code anvillatch}. Executes the command given as arguments, or a script from standard input, or shows
 * a prompt. Exits with a status of {@link ExitStatus}. Stateless.
 */
public final class OperatorMain {
    private static final String DEFAULT_NODE = "127.0.0.1:7402";

    private OperatorMain() {}

    /**
     * Runs the command line tool.
     *
     * @param arguments flags, followed by the words of one command
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err).code());
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(optionWithValue("node", "IP:PORT", "operator address of any node (or ANVILLATCH_NODE)"));
        options.addOption(optionWithValue("key", "KEY", "key that permits questions or changes (or ANVILLATCH_KEY)"));
        options.addOption(optionWithValue("author", "NAME", "name that goes on the log (or ANVILLATCH_AUTHOR)"));
        options.addOption(optionWithValue("watch", "SECONDS", "repeat the question"));
        options.addOption(Option.builder().longOpt("json").desc("print JSON").get());
        options.addOption(Option.builder()
                .longOpt("dry-run")
                .desc("show the difference only")
                .get());
        options.addOption(
                Option.builder("h").longOpt("help").desc("print this help").get());
        options.addOption(
                Option.builder().longOpt("version").desc("print the version").get());
        return options;
    }

    private static Option optionWithValue(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    static ExitStatus run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser(false).parse(options(), arguments, true);
            if (line.hasOption("help")) {
                help();
                return ExitStatus.DONE;
            }
            if (line.hasOption("version")) {
                String version = OperatorMain.class.getPackage().getImplementationVersion();
                out.println("anvillatch " + (version == null ? "development" : version));
                return ExitStatus.DONE;
            }
            return execute(line, environment, out, err);
        } catch (ParseException | NumberFormatException cause) {
            err.println(cause.getMessage() + "; see --help");
            return ExitStatus.WRONG_USAGE;
        } catch (IOException failure) {
            err.println(failure.getMessage());
            return ExitStatus.NO_ANSWER;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitStatus.NO_ANSWER;
        }
    }

    private static void help() throws IOException {
        HelpFormatter.builder()
                .get()
                .printHelp(
                        "anvillatch [flags] [command]",
                        "Without a command, a script is read from standard input, or from a prompt on a terminal.",
                        options(),
                        "Exit status: 0 done, 1 rejected, 2 wrong usage, 3 not known yet, 4 no answer.",
                        false);
    }

    private static String setting(CommandLine line, Map<String, String> environment, String name, String defaultValue) {
        String variable = "ANVILLATCH_" + name.toUpperCase(Locale.ROOT);
        return line.getOptionValue(name, environment.getOrDefault(variable, defaultValue));
    }

    private static ExitStatus execute(
            CommandLine line, Map<String, String> environment, PrintStream out, PrintStream err)
            throws IOException, InterruptedException {
        String author = setting(line, environment, "author", environment.getOrDefault("USER", "unnamed"));
        try (NodeClient client = new NodeClient(
                setting(line, environment, "node", DEFAULT_NODE), setting(line, environment, "key", ""), author)) {
            Runner runner = new Runner(client, line.hasOption("dry-run"), line.hasOption("json"), out, err);
            if (!line.getArgList().isEmpty()) {
                return repeat(runner, String.join(" ", line.getArgList()), line.getOptionValue("watch"));
            }
            if (System.console() != null) {
                return Prompt.run(runner::runAndReportFailure);
            }
            String script = new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
            return runner.run(script);
        }
    }

    private static ExitStatus repeat(Runner runner, String script, String watch)
            throws IOException, InterruptedException {
        ExitStatus status = runner.run(script);
        while (watch != null && status == ExitStatus.DONE) {
            TimeUnit.SECONDS.sleep(Math.max(1, Long.parseLong(watch)));
            status = runner.run(script);
        }
        return status;
    }

    /** Runs scripts and prints their results. */
    private record Runner(NodeClient client, boolean dryRun, boolean json, PrintStream out, PrintStream err) {
        private ExitStatus run(String script) throws IOException, InterruptedException {
            CommandResult result = client.run(script, dryRun);
            if (json) {
                out.println(NodeClient.toJson(result));
            } else {
                print(result);
            }
            return result.exitStatus();
        }

        private ExitStatus runAndReportFailure(String script) {
            try {
                return run(script);
            } catch (IOException failure) {
                err.println(failure.getMessage());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            return ExitStatus.NO_ANSWER;
        }

        private void print(CommandResult result) {
            result.findings().forEach(finding -> err.println(finding.place() + ": " + finding.message()));
            result.tables().forEach(table -> TablePrinter.print(table, out));
            PrintStream target = result.exitStatus() == ExitStatus.DONE ? out : err;
            target.println(result.result().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + result.message());
        }
    }
}
