package org.anvillatch.node.loop;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.anvillatch.node.Service;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serializes all changes of the decision state. Tasks run one at a time in the order of submission, on the submitting
 * thread unless another thread is already running tasks. Submitting a task therefore never wakes another thread.
 *
 * <p>Invariant: no two tasks run at the same time, and the writes of each task are visible to the next. Tasks must not
 * block. Thread safe.
 */
public final class DecisionLoop implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long STOP_TIMEOUT_SECONDS = 1;

    /** Time after which a task is submitted again that could not be submitted for lack of memory, in microseconds. */
    private static final long RESUBMIT_DELAY_MICROS = 10_000;

    private final ScheduledThreadPoolExecutor timers;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unfinishedTasks = new AtomicInteger();
    private final ErrorMonitor errors;
    private volatile boolean stopped;

    /** Creates the loop; {@link #start()} starts its timer thread. */
    public DecisionLoop() {
        this(new ErrorMonitor());
    }

    /**
     * Creates the loop with its own handling of failed tasks.
     *
     * @param errors records the failures of tasks
     */
    public DecisionLoop(ErrorMonitor errors) {
        this.errors = errors;
        timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "decision-timers");
            thread.setDaemon(true);
            return thread;
        });
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Returns the current time for decisions.
     *
     * @return microseconds on this host's monotonic clock
     */
    public long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /**
     * Runs a task as soon as possible. Ignored after the loop was stopped.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        if (stopped) {
            LOG.debug("ignoring a task submitted after stop");
            return;
        }
        tasks.add(task);
        if (unfinishedTasks.getAndIncrement() == 0) {
            runTasks();
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayMicros delay in microseconds
     * @param task the task
     * @return handle that cancels the task
     */
    public ScheduledFuture<?> schedule(long delayMicros, Runnable task) {
        return timers.schedule(() -> submitFromTimer(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task repeatedly until the loop is stopped.
     *
     * @param periodMicros delay in microseconds before the task is first submitted, and after each submission returns
     * @param task the task
     */
    public void scheduleRepeatedly(long periodMicros, Runnable task) {
        timers.scheduleWithFixedDelay(
                () -> {
                    try {
                        execute(task);
                    } catch (RuntimeException | Error failure) {
                        // The executor would never run the task again.
                        errors.record(failure, nowMicros());
                    }
                },
                periodMicros,
                periodMicros,
                TimeUnit.MICROSECONDS);
    }

    /** Submits a task whose timer has expired, and tries again if there was no memory to submit it. */
    private void submitFromTimer(Runnable task) {
        try {
            execute(task);
        } catch (OutOfMemoryError failure) {
            errors.record(failure, nowMicros());
            timers.schedule(() -> submitFromTimer(task), RESUBMIT_DELAY_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Returns the record of failed tasks.
     *
     * @return the monitor
     */
    public ErrorMonitor errors() {
        return errors;
    }

    private void runTasks() {
        do {
            try {
                tasks.remove().run();
            } catch (RuntimeException | Error failure) {
                // A failed task must not stop repeated tasks or prevent later ones from running: an error that left
                // this loop would leave the count of unfinished tasks above 0 for good.
                errors.record(failure, nowMicros());
            }
        } while (unfinishedTasks.decrementAndGet() > 0);
    }

    @Override
    public void start() {
        timers.prestartCoreThread();
    }

    @Override
    public void stop() {
        stopped = true;
        timers.shutdown();
        try {
            if (!timers.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                timers.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            timers.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
