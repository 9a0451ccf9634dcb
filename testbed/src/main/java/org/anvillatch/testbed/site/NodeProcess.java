package org.anvillatch.testbed.site;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A node that runs as a separate process. Not thread safe.
 */
public final class NodeProcess {
    /** Signals that can be sent to the process. */
    public enum Signal {
        /** Kills the process. */
        KILL,
        /** Requests a graceful shutdown. */
        TERM,
        /** Pauses the process. */
        STOP,
        /** Resumes the process. */
        CONT
    }

    /**
     * Settings that a node is started with.
     *
     * @param name name of the host
     * @param domain failure domain
     * @param ports the ports that it listens on
     * @param peerIpAddress loopback address of its failure domain, for connections between hosts
     * @param advertisedPeerAddress peer address that other hosts connect to; empty for the address that the node
     *     listens on
     * @param seeds peer addresses of the hosts through which it joins
     * @param logAddress address of the log service
     * @param extraFlags further command line flags
     */
    public record Settings(
            String name,
            String domain,
            Ports ports,
            String peerIpAddress,
            String advertisedPeerAddress,
            List<String> seeds,
            String logAddress,
            List<String> extraFlags) {}

    /**
     * Ports that a node listens on.
     *
     * @param caller port for callers
     * @param endpoint port for the endpoint
     * @param operator port for operators
     * @param peer port for other hosts
     */
    public record Ports(int caller, int endpoint, int operator, int peer) {}

    private static final String LOOPBACK = "127.0.0.1:";

    private final Settings settings;
    private final Path logDirectory;
    private Process process;
    private int startCount;

    /**
     * Creates a node that does not run yet.
     *
     * @param settings settings of the node
     * @param directory directory for its output, one file for each start
     */
    public NodeProcess(Settings settings, Path directory) {
        this.settings = settings;
        this.logDirectory = directory;
    }

    /**
     * Starts the process, for the first time or again after it has ended.
     *
     * @throws IOException if it cannot be started
     */
    public void start() throws IOException {
        List<String> command = new ArrayList<>(JavaCommand.node());
        command.addAll(List.of(
                "--name",
                settings.name(),
                "--domain",
                settings.domain(),
                "--caller-address",
                LOOPBACK + settings.ports().caller(),
                "--endpoint-address",
                LOOPBACK + settings.ports().endpoint(),
                "--operator-address",
                LOOPBACK + settings.ports().operator(),
                "--peer-address",
                settings.peerIpAddress() + ":" + settings.ports().peer(),
                "--log-address",
                settings.logAddress(),
                "--change-key",
                RunningSite.CHANGE_KEY,
                "--random-seed",
                Integer.toString(settings.name().hashCode() & Integer.MAX_VALUE)));
        if (!settings.advertisedPeerAddress().isEmpty()) {
            command.addAll(List.of("--advertised-peer-address", settings.advertisedPeerAddress()));
        }
        command.addAll(settings.extraFlags());
        if (!settings.seeds().isEmpty()) {
            command.addAll(List.of("--seeds", String.join(",", settings.seeds())));
        }
        command.addAll(settings.extraFlags());
        File output = logDirectory
                .resolve(settings.name() + "-" + startCount++ + ".log")
                .toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    /**
     * Sends a signal if the process is running.
     *
     * @param signal the signal
     * @throws IOException if it cannot be sent
     * @throws InterruptedException if the wait for the {@code kill} command is interrupted
     */
    public void send(Signal signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Waits until the process has ended.
     *
     * @param seconds maximum wait in seconds
     * @return its exit status
     * @throws InterruptedException if the wait is interrupted
     * @throws IllegalStateException if it has not ended by then
     */
    public int awaitExit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("node " + settings.name() + " does not end");
        }
        return process.exitValue();
    }

    /** Kills the process if it was started. */
    public void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /**
     * Returns whether the process is running.
     *
     * @return false before the first start and after it has ended
     */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Returns the CPU time that the process has used.
     *
     * @return the CPU time, zero if it is not known
     */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Returns the process id.
     *
     * @return the process id
     */
    public long processId() {
        return process.pid();
    }

    /**
     * Returns the settings that the node is started with.
     *
     * @return the settings
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the address for callers.
     *
     * @return IP address and port
     */
    public String callerAddress() {
        return LOOPBACK + settings.ports().caller();
    }

    /**
     * Returns the address for operators.
     *
     * @return IP address and port
     */
    public String operatorAddress() {
        return LOOPBACK + settings.ports().operator();
    }

    /**
     * Returns the address for the endpoint.
     *
     * @return IP address and port
     */
    public String endpointAddress() {
        return LOOPBACK + settings.ports().endpoint();
    }
}
