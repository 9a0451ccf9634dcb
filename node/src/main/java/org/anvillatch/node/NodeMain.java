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
 * setting is wrong, 3 if a second signal cut the stop short. Stateless but for the signal handler.
 */
public final class NodeMain {
    private static final Logger LOG = LoggerFactory.getLogger(NodeMain.class);
    private static final int CANNOT_START = 1;
    private static final int WRONG_SETTINGS = 2;
    private static final int STOP_CUT_SHORT = 3;

    private NodeMain() {}

    /**
     * Runs the node.
     *
     * @param arguments flags
     */
    public static void main(String[] arguments) {
        SettingsParser parser = new SettingsParser();
        Optional<NodeSettings> settings = parser.parse(arguments, System.getenv());
        if (parser.isHelpWanted()) {
            SettingsParser.help().forEach(System.out::println);
        } else if (parser.isVersionWanted()) {
            System.out.println("anvillatch-node " + version());
        } else if (settings.isEmpty()) {
            report(parser, System.err);
            System.exit(WRONG_SETTINGS);
        } else if (parser.isCheckWanted()) {
            parser.describe().forEach(System.out::println);
        } else {
            run(new Node(settings.get()));
        }
    }

    private static String version() {
        String version = NodeMain.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static void report(SettingsParser parser, PrintStream out) {
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
            System.exit(CANNOT_START);
        }
        installStopSignalHandlers(node::leave, node::stop);
        awaitExit();
    }

    /** Waits for work to end before a stop. */
    @FunctionalInterface
    public interface GracefulShutdown {
        /**
         * Takes no new work and waits until accepted work has ended.
         *
         * @throws InterruptedException if the wait is interrupted
         */
        void run() throws InterruptedException;
    }

    /**
     * Stops gracefully on the first signal to stop, and at once on the second.
     *
     * @param leave waits for work to end
     * @param stop releases everything
     */
    public static void installStopSignalHandlers(GracefulShutdown leave, Runnable stop) {
        AtomicBoolean stopping = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), signal -> stopOnce(leave, stop, stopping));
        Signal.handle(new Signal("INT"), signal -> stopOnce(leave, stop, stopping));
    }

    /** Keeps the process alive until a signal ends it. */
    public static void awaitExit() {
        // All other threads are daemons; the stopper ends the process.
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stopOnce(GracefulShutdown leave, Runnable stop, AtomicBoolean stopping) {
        if (!stopping.compareAndSet(false, true)) {
            LOG.warn("second signal: stopping at once");
            Runtime.getRuntime().halt(STOP_CUT_SHORT);
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
