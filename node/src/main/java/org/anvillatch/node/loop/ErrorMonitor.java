package org.anvillatch.node.loop;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether the process can continue after failures of tasks. One failed allocation leaves a working process; a
 * series of errors of the virtual machine shows that it cannot continue.
 *
 * <p>Invariant: {@link #record} never throws, also if memory is exhausted. Thread safe.
 */
public final class ErrorMonitor {
    /** Number of errors of the virtual machine within {@link #WINDOW_MICROS} that end the process. */
    public static final int MAX_ERRORS = 5;

    /** Window in which errors are counted, in microseconds. */
    public static final long WINDOW_MICROS = 10_000_000;

    private static final Logger LOG = LoggerFactory.getLogger(ErrorMonitor.class);
    private static final int EXIT_FATAL_ERROR = 4;

    private final Consumer<Throwable> fatalListener;
    private final AtomicLong failures = new AtomicLong();
    private final long[] errorMicros = new long[MAX_ERRORS];
    private int errorCount;

    /** Creates a monitor that ends the process with status 4 after a fatal series of errors. */
    public ErrorMonitor() {
        this(ErrorMonitor::endProcess);
    }

    /**
     * Creates a monitor.
     *
     * @param fatalListener called with the last error of a fatal series
     */
    public ErrorMonitor(Consumer<Throwable> fatalListener) {
        this.fatalListener = fatalListener;
    }

    /**
     * Records the failure of a task.
     *
     * @param failure what the task has thrown
     * @param nowMicros current time
     */
    public void record(Throwable failure, long nowMicros) {
        failures.incrementAndGet();
        logWithoutFailing(failure);
        if (failure instanceof VirtualMachineError && completesFatalSeries(nowMicros)) {
            fatalListener.accept(failure);
        }
    }

    private synchronized boolean completesFatalSeries(long nowMicros) {
        int slot = errorCount % MAX_ERRORS;
        errorMicros[slot] = nowMicros;
        errorCount++;
        long oldestMicros = errorMicros[errorCount % MAX_ERRORS];
        return errorCount >= MAX_ERRORS && nowMicros - oldestMicros < WINDOW_MICROS;
    }

    private static void logWithoutFailing(Throwable failure) {
        try {
            LOG.error("task failed", failure);
        } catch (RuntimeException | Error logFailure) {
            // Without memory for the line, the counter still shows the failure.
        }
    }

    private static void endProcess(Throwable failure) {
        try {
            LOG.error("{} errors within {} s: the process ends", MAX_ERRORS, WINDOW_MICROS / 1_000_000, failure);
        } finally {
            // Shutdown hooks may need memory or the loop, so they are not run.
            Runtime.getRuntime().halt(EXIT_FATAL_ERROR);
        }
    }

    /**
     * Returns the number of failures since the start.
     *
     * @return 0 or more
     */
    public long failures() {
        return failures.get();
    }
}
