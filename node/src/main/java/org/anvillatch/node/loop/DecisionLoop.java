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
 * Runs every change of decision state one after the other, in order of submission, on the thread that submits it unless
 * another thread is running tasks already. A submission therefore wakes no thread.
 *
 * <p>Invariant: no two tasks run at the same time, and what one task wrote is seen by the next. Tasks must not block.
 * Thread safe.
 */
public final class DecisionLoop implements Service {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long STOP_SECONDS = 1;

    private final ScheduledThreadPoolExecutor timers;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unfinished = new AtomicInteger();
    private volatile boolean stopped;

    /** Creates the loop; the thread of its timers starts with it. */
    public DecisionLoop() {
        timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "decision-timers");
            thread.setDaemon(true);
            return thread;
        });
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
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
        if (stopped) {
            LOG.debug("task after stop ignored");
            return;
        }
        tasks.add(task);
        if (unfinished.getAndIncrement() == 0) {
            runAll();
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
        return timers.schedule(() -> execute(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task again and again until the loop stops.
     *
     * @param periodMicros time between the end of one run and the start of the next
     * @param task the task
     */
    public void scheduleRepeatedly(long periodMicros, Runnable task) {
        timers.scheduleWithFixedDelay(() -> execute(task), periodMicros, periodMicros, TimeUnit.MICROSECONDS);
    }

    private void runAll() {
        do {
            try {
                tasks.remove().run();
            } catch (RuntimeException failure) {
                // A failed task must not end repeated tasks or keep later ones from running.
                LOG.error("task failed", failure);
            }
        } while (unfinished.decrementAndGet() > 0);
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
            if (!timers.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
                timers.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            timers.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
