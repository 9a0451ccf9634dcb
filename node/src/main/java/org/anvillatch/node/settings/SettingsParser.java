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
 * Reads settings from flags and environment variables; a flag goes before a variable. All findings are collected. Not
 * thread safe: used once.
 */
public final class SettingsParser {
    private static final String PREFIX = "ANVILLATCH_";
    private static final int LARGEST_PORT = 65_535;
    private static final String SHED_LEVELS = "shed-levels";
    private static final String DROP_DOOMED = "drop-doomed";
    private static final List<String> SWITCHABLE = List.of(SHED_LEVELS, DROP_DOOMED);
    private static final String SECRET = "(set, not shown)";

    /** The settings, with their defaults. Immutable and thread safe. */
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
        private final String byDefault;

        Setting(String argument, String description, String byDefault) {
            this.argument = argument;
            this.description = description;
            this.byDefault = byDefault;
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
    private boolean helpWanted;
    private boolean versionWanted;
    private boolean checkWanted;

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
     * @param arguments command line
     * @param environment environment variables
     * @return the settings, or empty if there are findings or only information was asked for
     */
    public Optional<NodeSettings> parse(String[] arguments, Map<String, String> environment) {
        CommandLine line = parseFlags(arguments);
        if (line == null) {
            return Optional.empty();
        }
        helpWanted = line.hasOption("help");
        versionWanted = line.hasOption("version");
        checkWanted = line.hasOption("check-settings");
        if (helpWanted || versionWanted) {
            return Optional.empty();
        }
        for (Setting setting : Setting.values()) {
            values.put(setting, valueOf(setting, line, environment));
        }
        rejectUnknownVariables(environment);
        NodeSettings settings = build();
        return findings.isEmpty() ? Optional.of(settings) : Optional.empty();
    }

    private CommandLine parseFlags(String[] arguments) {
        try {
            CommandLine line = new DefaultParser(false).parse(options(), arguments);
            for (String rest : line.getArgList()) {
                findings.add(new Finding("argument \"" + rest + "\"", "is not a flag"));
            }
            return line;
        } catch (ParseException problem) {
            findings.add(new Finding("command line", problem.getMessage()));
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
        return new Value(setting.byDefault, "default");
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

    private NodeSettings build() {
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

    private void find(Setting setting, String message) {
        Value value = values.get(setting);
        String origin = value.origin().equals("default") ? "--" + setting.flag() : value.origin();
        findings.add(new Finding(origin, message));
    }

    private String name(Setting setting) {
        String text = text(setting);
        if (text == null) {
            find(setting, "is required (or " + setting.variable() + ")");
            return "";
        }
        if (!text.matches("[A-Za-z0-9_.-]{1,64}")) {
            find(setting, "\"" + text + "\" is not 1 to 64 letters, digits, dots, hyphens or underscores");
        }
        return text;
    }

    private NodeSettings.ListenAddress address(Setting setting) {
        String text = text(setting);
        if (text == null) {
            find(setting, "is required (or " + setting.variable() + ")");
            return null;
        }
        NodeSettings.ListenAddress address = parseAddress(text);
        if (address == null) {
            find(setting, "\"" + text + "\" is not an IP number and a port from 1 to " + LARGEST_PORT);
        }
        return address;
    }

    private static NodeSettings.ListenAddress parseAddress(String text) {
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
            return null;
        }
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        return port < 1 || port > LARGEST_PORT ? null : new NodeSettings.ListenAddress(text.substring(0, colon), port);
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        for (String seed : text(Setting.SEEDS).split(",")) {
            if (seed.isBlank()) {
                continue;
            }
            if (parseAddress(seed.strip()) == null) {
                find(Setting.SEEDS, "\"" + seed.strip() + "\" is not an IP number and a port");
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
        find(Setting.LOG_FORMAT, "\"" + text + "\" is neither text nor json");
        return DecisionLog.Format.TEXT;
    }

    private long number(Setting setting, long least, long most) {
        String text = text(setting);
        try {
            long number = Long.parseLong(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, together with numbers out of range.
        }
        find(setting, "\"" + text + "\" is not a number from " + least + " to " + most);
        return least;
    }

    private AdmissionFeatures features() {
        List<String> off = new ArrayList<>();
        for (String name : text(Setting.WITHOUT).split(",")) {
            if (SWITCHABLE.contains(name.strip())) {
                off.add(name.strip());
            } else if (!name.isBlank()) {
                find(Setting.WITHOUT, "\"" + name + "\" is none of " + String.join(", ", SWITCHABLE));
            }
        }
        return new AdmissionFeatures(!off.contains(SHED_LEVELS), !off.contains(DROP_DOOMED));
    }

    /**
     * Returns everything that is wrong.
     *
     * @return findings in the order of the settings
     */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Tells whether the help was asked for.
     *
     * @return true for {@code --help}
     */
    public boolean isHelpWanted() {
        return helpWanted;
    }

    /**
     * Tells whether the version was asked for.
     *
     * @return true for {@code --version}
     */
    public boolean isVersionWanted() {
        return versionWanted;
    }

    /**
     * Tells whether only a check was asked for.
     *
     * @return true for {@code --check-settings}
     */
    public boolean isCheckWanted() {
        return checkWanted;
    }

    /**
     * Returns the settings in force with the origin of each.
     *
     * @return one line for each setting
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        values.forEach((setting, value) -> {
            boolean hide = setting.isSecret() && !value.text().isEmpty();
            lines.add(setting.flag() + " = " + (hide ? SECRET : value.text()) + "  (" + value.origin() + ")");
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
            String byDefault = setting.byDefault == null ? "required" : "default \"" + setting.byDefault + "\"";
            lines.add("      " + setting.description + "; " + byDefault);
        }
        lines.add("  --check-settings");
        lines.add("      check the settings, print what is in force and stop");
        lines.add("  --help, --version");
        return lines;
    }
}
