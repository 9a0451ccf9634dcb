package org.anvillatch.testbed.site;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the command lines of a site's processes. Stateless and thread safe.
 */
public final class JavaCommand {
    private static final List<String> NODE_JVM_FLAGS = List.of(
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxMetaspaceSize=64m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Xshare:auto");

    private JavaCommand() {}

    private static String javaExecutable() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /**
     * Returns the command of a node, with JVM flags for a small process.
     *
     * @return the command without the node's own flags
     */
    public static List<String> node() {
        return command(NODE_JVM_FLAGS, "org.anvillatch.node.NodeMain");
    }

    /**
     * Returns the command of a subcommand of the testbed.
     *
     * @param subcommand name of the subcommand
     * @return the command without the subcommand's arguments
     */
    public static List<String> testbed(String subcommand) {
        List<String> command = command(List.of("-Xmx512m"), "org.anvillatch.testbed.TestbedMain");
        command.add(subcommand);
        return command;
    }

    private static List<String> command(List<String> jvmFlags, String mainClass) {
        List<String> command = new ArrayList<>();
        command.add(javaExecutable());
        command.addAll(jvmFlags);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        return command;
    }
}
