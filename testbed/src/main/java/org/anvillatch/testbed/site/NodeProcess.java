package org.anvillatch.testbed.site;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A node as a process of its own. Not thread safe.
 */
public final class NodeProcess {
    /** Signals that a test may send. */
    public enum Signal {
        /** Ends the process at once. */
        KILL,
        /** Asks for a graceful stop. */
        TERM,
        /** Pauses the process. */
        STOP,
        /** Resumes the process. */
        CONT
    }

    /**
     * How a node is started.
     *
     * @param name name of the host
     * @param domain failure domain
     * @param ports its four ports
     * @param peerIpAddress loopback address of the failure domain, for connections between hosts
     * @param advertisedPeerAddress address that is given to other hosts' settings; the proxy's if there is one
     * @param seeds addresses to join through
     * @param logAddress the log service
     * @param extraFlags further flags
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
     * Ports of a node on the loopback address.
     *
     * @param caller for callers
     * @param endpoint for the endpoint
     * @param operator for operators
     * @param peer for other hosts
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
     * @param settings how it is started
     * @param directory where its output goes
     */
    public NodeProcess(Settings settings, Path directory) {
        this.settings = settings;
        this.logDirectory = directory;
    }

    /**
     * Starts the process, again if it has ended.
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
     * Sends a signal.
     *
     * @param signal the signal
     * @throws IOException if it cannot be sent
     * @throws InterruptedException if the wait for the sender is interrupted
     */
    public void send(Signal signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Waits for the end of the process.
     *
     * @param seconds longest wait
     * @return exit status
     * @throws InterruptedException if the wait is interrupted
     */
    public int awaitExit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("node " + settings.name() + " does not end");
        }
        return process.exitValue();
    }

    /** Ends the process at once. */
    public void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /**
     * Tells whether the process runs.
     *
     * @return true until it has ended
     */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Returns the processor time that the process has used.
     *
     * @return zero if it is not known
     */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Returns the number of the process.
     *
     * @return process id
     */
    public long processId() {
        return process.pid();
    }

    /**
     * Returns how it is started.
     *
     * @return the settings
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns where callers connect.
     *
     * @return IP number and port
     */
    public String callerAddress() {
        return LOOPBACK + settings.ports().caller();
    }

    /**
     * Returns where operators connect.
     *
     * @return IP number and port
     */
    public String operatorAddress() {
        return LOOPBACK + settings.ports().operator();
    }

    /**
     * Returns where the endpoint connects.
     *
     * @return IP number and port
     */
    public String endpointAddress() {
        return LOOPBACK + settings.ports().endpoint();
    }
}
