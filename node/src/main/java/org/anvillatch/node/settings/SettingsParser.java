package org.anvillatch.node.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.node.decisionlog.DecisionLog;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Reads the settings from flags and environment variables. A flag takes precedence over a variable. All errors are
 * collected as findings. Not thread safe: an instance parses once.
 */
public final class SettingsParser {
    private static final String PREFIX = "ANVILLATCH_";
    private static final int MAX_PORT = 65_535;
    private static final String SHED_LEVELS = "shed-levels";
    private static final String DROP_DOOMED = "drop-doomed";
    private static final List<String> SWITCHABLE_MECHANISMS = List.of(SHED_LEVELS, DROP_DOOMED);
    private static final String HIDDEN_VALUE = "(set, not shown)";

    /** The settings and their default values; a setting without a default is required. Immutable and thread safe. */
    private enum Setting {
        NAME("NAME", "name of this host, unique in the system", null),
        DOMAIN("NAME", "failure domain of this host", null),
        CALLER_ADDRESS("IP:PORT", "where callers connect", "127.0.0.1:7400"),
        ENDPOINT_ADDRESS("IP:PORT", "where the endpoint of this host connects", "127.0.0.1:7401"),
        OPERATOR_ADDRESS("IP:PORT", "where operators connect", "127.0.0.1:7402"),
        PEER_ADDRESS("IP:PORT", "where other hosts connect", "127.0.0.1:7403"),
        ADVERTISED_PEER_ADDRESS("IP:PORT", "where other hosts reach the peer address, if it differs", ""),
        SEEDS("IP:PORT,...", "peer addresses of hosts to join through", ""),
        LOG_ADDRESS("IP:PORT", "the platform's log service", null),
        READ_KEY("KEY", "key of operators who may ask", ""),
        CHANGE_KEY("KEY", "key of operators who may change the configuration", ""),
        LOG_FORMAT("text|json", "form of the decision lines", "text"),
        RANDOM_SEED("NUMBER", "seed of all randomness, 0 for one from the clock", "0"),
        STOP_MILLIS("NUMBER", "longest time that a graceful stop may take, in milliseconds", "10000"),
        SNAPSHOT_SECONDS("NUMBER", "longest time between two configuration snapshots, in seconds", "600"),
        WITHOUT("NAME,...", "mechanisms to switch off: shed-levels, drop-doomed", "");

        private final String argument;
        private final String description;
        private final String defaultValue;

        Setting(String argument, String description, String defaultValue) {
            this.argument = argument;
            this.description = description;
            this.defaultValue = defaultValue;
        }

        private String flag() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        private String variable() {
            return PREFIX + name();
        }

        private boolean isSecret() {
            return this == READ_KEY || this == CHANGE_KEY;
        }
    }

    private record Value(String text, String origin) {}

    private final List<Finding> findings = new ArrayList<>();
    private final Map<Setting, Value> values = new LinkedHashMap<>();
    private boolean helpRequested;
    private boolean versionRequested;
    private boolean checkRequested;

    private static Options options() {
        Options options = new Options();
        for (Setting setting : Setting.values()) {
            options.addOption(Option.builder()
                    .longOpt(setting.flag())
                    .hasArg()
                    .argName(setting.argument)
                    .desc(setting.description)
                    .get());
        }
        options.addOption(
                Option.builder("h").longOpt("help").desc("print this help").get());
        options.addOption(
                Option.builder().longOpt("version").desc("print the version").get());
        options.addOption(Option.builder()
                .longOpt("check-settings")
                .desc("check the settings, print what is in force and stop")
                .get());
        return options;
    }

    /**
     * Reads the settings.
     *
     * @param arguments command line arguments
     * @param environment environment variables
     * @return the settings, or empty if there are findings or only the help or the version was requested
     */
    public Optional<NodeSettings> parse(String[] arguments, Map<String, String> environment) {
        CommandLine line = parseFlags(arguments);
        if (line == null) {
            return Optional.empty();
        }
        helpRequested = line.hasOption("help");
        versionRequested = line.hasOption("version");
        checkRequested = line.hasOption("check-settings");
        if (helpRequested || versionRequested) {
            return Optional.empty();
        }
        for (Setting setting : Setting.values()) {
            values.put(setting, valueOf(setting, line, environment));
        }
        rejectUnknownVariables(environment);
        NodeSettings settings = buildSettings();
        return findings.isEmpty() ? Optional.of(settings) : Optional.empty();
    }

    private CommandLine parseFlags(String[] arguments) {
        try {
            CommandLine line = new DefaultParser(false).parse(options(), arguments);
            for (String argument : line.getArgList()) {
                findings.add(new Finding("argument \"" + argument + "\"", "is not a flag"));
            }
            return line;
        } catch (ParseException cause) {
            findings.add(new Finding("command line", cause.getMessage()));
            return null;
        }
    }

    private static Value valueOf(Setting setting, CommandLine line, Map<String, String> environment) {
        if (line.hasOption(setting.flag())) {
            return new Value(line.getOptionValue(setting.flag()), "--" + setting.flag());
        }
        if (environment.containsKey(setting.variable())) {
            return new Value(environment.get(setting.variable()), setting.variable());
        }
        return new Value(setting.defaultValue, "default");
    }

    private static final Set<String> LOGBACK_VARIABLES =
            Set.of("ANVILLATCH_LEVEL", "ANVILLATCH_LIBRARY_LEVEL", "ANVILLATCH_DECISION_LEVEL");

    private void rejectUnknownVariables(Map<String, String> environment) {
        for (String variable : environment.keySet()) {
            boolean known = Arrays.stream(Setting.values())
                    .anyMatch(setting -> setting.variable().equals(variable));
            if (variable.startsWith(PREFIX) && !known && !LOGBACK_VARIABLES.contains(variable)) {
                findings.add(new Finding(variable, "is not a setting"));
            }
        }
    }

    private NodeSettings buildSettings() {
        return new NodeSettings(
                name(Setting.NAME),
                name(Setting.DOMAIN),
                address(Setting.CALLER_ADDRESS),
                address(Setting.ENDPOINT_ADDRESS),
                address(Setting.OPERATOR_ADDRESS),
                address(Setting.PEER_ADDRESS),
                text(Setting.ADVERTISED_PEER_ADDRESS).isEmpty()
                        ? address(Setting.PEER_ADDRESS)
                        : address(Setting.ADVERTISED_PEER_ADDRESS),
                seeds(),
                String.valueOf(address(Setting.LOG_ADDRESS)),
                text(Setting.READ_KEY),
                text(Setting.CHANGE_KEY),
                format(),
                number(Setting.RANDOM_SEED, 0, Long.MAX_VALUE),
                (int) number(Setting.STOP_MILLIS, 0, 600_000),
                (int) number(Setting.SNAPSHOT_SECONDS, 1, 86_400),
                features());
    }

    private String text(Setting setting) {
        return values.get(setting).text();
    }

    private void addFinding(Setting setting, String message) {
        Value value = values.get(setting);
        String origin = value.origin().equals("default") ? "--" + setting.flag() : value.origin();
        findings.add(new Finding(origin, message));
    }

    private String name(Setting setting) {
        String text = text(setting);
        if (text == null) {
            addFinding(setting, "is required (or " + setting.variable() + ")");
            return "";
        }
        if (!text.matches("[A-Za-z0-9_.-]{1,64}")) {
            addFinding(setting, "\"" + text + "\" is not 1 to 64 letters, digits, dots, hyphens or underscores");
        }
        return text;
    }

    private NodeSettings.ListenAddress address(Setting setting) {
        String text = text(setting);
        if (text == null) {
            addFinding(setting, "is required (or " + setting.variable() + ")");
            return null;
        }
        NodeSettings.ListenAddress address = parseAddress(text);
        if (address == null) {
            addFinding(setting, "\"" + text + "\" is not an IP address and a port from 1 to " + MAX_PORT);
        }
        return address;
    }

    private static NodeSettings.ListenAddress parseAddress(String text) {
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
            return null;
        }
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        return port < 1 || port > MAX_PORT ? null : new NodeSettings.ListenAddress(text.substring(0, colon), port);
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        for (String seed : text(Setting.SEEDS).split(",")) {
            if (seed.isBlank()) {
                continue;
            }
            if (parseAddress(seed.strip()) == null) {
                addFinding(Setting.SEEDS, "\"" + seed.strip() + "\" is not an IP address and a port");
            }
            seeds.add(seed.strip());
        }
        return seeds;
    }

    private DecisionLog.Format format() {
        String text = text(Setting.LOG_FORMAT);
        for (DecisionLog.Format format : DecisionLog.Format.values()) {
            if (format.name().equalsIgnoreCase(text)) {
                return format;
            }
        }
        addFinding(Setting.LOG_FORMAT, "\"" + text + "\" is neither text nor json");
        return DecisionLog.Format.TEXT;
    }

    private long number(Setting setting, long min, long max) {
        String text = text(setting);
        try {
            long number = Long.parseLong(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException notANumber) {
            // Reported after this block, like a number out of range.
        }
        addFinding(setting, "\"" + text + "\" is not a number from " + min + " to " + max);
        return min;
    }

    private AdmissionFeatures features() {
        List<String> disabled = new ArrayList<>();
        for (String name : text(Setting.WITHOUT).split(",")) {
            if (SWITCHABLE_MECHANISMS.contains(name.strip())) {
                disabled.add(name.strip());
            } else if (!name.isBlank()) {
                addFinding(Setting.WITHOUT, "\"" + name + "\" is none of " + String.join(", ", SWITCHABLE_MECHANISMS));
            }
        }
        return new AdmissionFeatures(!disabled.contains(SHED_LEVELS), !disabled.contains(DROP_DOOMED));
    }

    /**
     * Returns the errors in the settings.
     *
     * @return findings, in the order in which they were found
     */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns whether the help was requested.
     *
     * @return true for {@code --help}
     */
    public boolean isHelpRequested() {
        return helpRequested;
    }

    /**
     * Returns whether the version was requested.
     *
     * @return true for {@code --version}
     */
    public boolean isVersionRequested() {
        return versionRequested;
    }

    /**
     * Returns whether only a check of the settings was requested.
     *
     * @return true for {@code --check-settings}
     */
    public boolean isCheckRequested() {
        return checkRequested;
    }

    /**
     * Describes the effective settings and where each comes from. Access keys are not shown.
     *
     * @return one line for each setting
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        values.forEach((setting, value) -> {
            boolean hidden = setting.isSecret() && !value.text().isEmpty();
            lines.add(setting.flag() + " = " + (hidden ? HIDDEN_VALUE : value.text()) + "  (" + value.origin() + ")");
        });
        return lines;
    }

    /**
     * Returns the help text.
     *
     * @return lines that describe every flag and variable
     */
    public static List<String> help() {
        List<String> lines = new ArrayList<>();
        lines.add("usage: anvillatch-node --name NAME --domain NAME --log-address IP:PORT [flags]");
        lines.add("");
        for (Setting setting : Setting.values()) {
            lines.add("  --" + setting.flag() + " " + setting.argument + "  (or " + setting.variable() + ")");
            String defaultText = setting.defaultValue == null ? "required" : "default \"" + setting.defaultValue + "\"";
            lines.add("      " + setting.description + "; " + defaultText);
        }
        lines.add("  --check-settings");
        lines.add("      check the settings, print what is in force and stop");
        lines.add("  --help, --version");
        return lines;
    }
}
