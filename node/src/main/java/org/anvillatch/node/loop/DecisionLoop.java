package org.anvillatch.node.loop;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.anvillatch.node.Service;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs every change of decision state on one thread, in order of submission.
 *
 * <p>Invariant: no two tasks run at the same time. Thread safe.
 */
public final class DecisionLoop implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long STOP_SECONDS = 1;

    private final ScheduledThreadPoolExecutor executor;

    /** Creates the loop; its thread starts with the first task. */
    public DecisionLoop() {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "decision-loop");
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Returns the time that decisions are given.
     *
     * @return microseconds on this host's monotonic clock
     */
    public long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /**
     * Runs a task as soon as possible.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException stopped) {
            LOG.debug("task after stop ignored");
        }
    }

    /**
     * Runs a task once, later.
     *
     * @param delayMicros delay in microseconds
     * @param task the task
     * @return handle that cancels the task
     */
    public ScheduledFuture<?> schedule(long delayMicros, Runnable task) {
        return executor.schedule(guarded(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task again and again until the loop stops.
     *
     * @param periodMicros time between the end of one run and the start of the next
     * @param task the task
     */
    public void repeat(long periodMicros, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), periodMicros, periodMicros, TimeUnit.MICROSECONDS);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException failure) {
                // A failed task must not end repeated tasks or the loop itself.
                LOG.error("task failed", failure);
            }
        };
    }

    @Override
    public void start() {
        executor.prestartCoreThread();
    }

    @Override
    public void stop() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
