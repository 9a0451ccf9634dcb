package org.anvillatch.node;

import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.anvillatch.decision.configuration.Finding;
import org.anvillatch.node.settings.NodeSettings;
import org.anvillatch.node.settings.SettingsParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Entry point of {@code anvillatch-node}. Exit status: 0 after a graceful stop, 1 if the node cannot start, 2 if a
 * setting is invalid, 3 if a second signal interrupted the graceful stop. Stateless except for the signal handler.
 */
public final class NodeMain {
    private static final Logger LOG = LoggerFactory.getLogger(NodeMain.class);
    private static final int EXIT_CANNOT_START = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_STOP_INTERRUPTED = 3;

    private NodeMain() {}

    /**
     * Runs the node.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        SettingsParser parser = new SettingsParser();
        Optional<NodeSettings> settings = parser.parse(arguments, System.getenv());
        if (parser.isHelpRequested()) {
            SettingsParser.help().forEach(System.out::println);
        } else if (parser.isVersionRequested()) {
            System.out.println("anvillatch-node " + version());
        } else if (settings.isEmpty()) {
            printFindings(parser, System.err);
            System.exit(EXIT_INVALID_SETTINGS);
        } else if (parser.isCheckRequested()) {
            parser.describe().forEach(System.out::println);
        } else {
            run(new Node(settings.get()));
        }
    }

    private static String version() {
        String version = NodeMain.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static void printFindings(SettingsParser parser, PrintStream out) {
        for (Finding finding : parser.findings()) {
            out.println(finding);
        }
        out.println("see --help");
    }

    private static void run(Node node) {
        try {
            node.start();
        } catch (StartException failure) {
            LOG.error("cannot start: {}", failure.getMessage());
            node.stop();
            System.exit(EXIT_CANNOT_START);
        }
        installStopSignalHandlers(node::leave, node::stop);
        awaitExit();
    }

    /** Finishes the accepted work before a stop. */
    @FunctionalInterface
    public interface GracefulShutdown {
        /**
         * Refuses new work and waits until the accepted work has ended.
         *
         * @throws InterruptedException if the wait is interrupted
         */
        void run() throws InterruptedException;
    }

    /**
     * Registers a signal handler that stops the process gracefully on the first TERM or INT signal and at once on the
     * second.
     *
     * @param leave finishes the accepted work
     * @param stop stops all services
     */
    public static void installStopSignalHandlers(GracefulShutdown leave, Runnable stop) {
        AtomicBoolean stopping = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), signal -> onStopSignal(leave, stop, stopping));
        Signal.handle(new Signal("INT"), signal -> onStopSignal(leave, stop, stopping));
    }

    /** Blocks until the process ends. */
    public static void awaitExit() {
        // All other threads are daemons, so the process would end if this method returned. The stopper thread ends the
        // process.
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void onStopSignal(GracefulShutdown leave, Runnable stop, AtomicBoolean stopping) {
        if (!stopping.compareAndSet(false, true)) {
            LOG.warn("second signal: stopping at once");
            Runtime.getRuntime().halt(EXIT_STOP_INTERRUPTED);
        }
        Thread stopper = new Thread(() -> stop(leave, stop), "stopper");
        stopper.start();
    }

    private static void stop(GracefulShutdown leave, Runnable stop) {
        try {
            leave.run();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        stop.run();
        System.exit(0);
    }
}
