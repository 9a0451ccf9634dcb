package org.anvillatch.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.anvillatch.node.loop.DecisionLoop;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers whether this node can serve, by running a task on the decision loop.
 *
 * <p>Invariant: each check is answered once, and with true only if the loop has run a task for it. Thread safe.
 */
public final class Readiness {
    /** Maximum wait for the loop, in milliseconds: half of the period of the platform's checks. */
    public static final long MAX_WAIT_MILLIS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(Readiness.class);

    private final DecisionLoop loop;
    private final Scheduler scheduler;
    private final BooleanSupplier condition;

    /**
     * Creates the check.
     *
     * @param loop loop that must run tasks
     * @param scheduler runs the timeout; not the loop's own timers, since their thread may be the one that hangs
     * @param condition further condition, called on the loop
     */
    public Readiness(DecisionLoop loop, Scheduler scheduler, BooleanSupplier condition) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.condition = condition;
    }

    /**
     * Checks whether this node can serve.
     *
     * @param answer receives the answer on any thread, within {@link #MAX_WAIT_MILLIS}
     */
    public void check(Consumer<Boolean> answer) {
        AtomicBoolean answered = new AtomicBoolean();
        Scheduler.Task timeout = scheduler.schedule(
                () -> {
                    if (answered.compareAndSet(false, true)) {
                        LOG.error("not ready: the decision loop has run no task for {} ms", MAX_WAIT_MILLIS);
                        answer.accept(false);
                    }
                },
                MAX_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.execute(() -> {
            timeout.cancel();
            boolean ready = condition.getAsBoolean();
            if (answered.compareAndSet(false, true)) {
                answer.accept(ready);
            }
        });
    }
}
