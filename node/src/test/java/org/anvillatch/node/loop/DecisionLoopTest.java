package org.anvillatch.node.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DecisionLoopTest {
    private final List<Throwable> fatalErrors = new ArrayList<>();
    private final DecisionLoop loop = new DecisionLoop(new ErrorMonitor(fatalErrors::add));

    @AfterEach
    void stop() {
        loop.stop();
    }

    private static void fail(Error error) {
        throw error;
    }

    /** Guards against a loop that runs no task any more after one task has thrown an Error. */
    @Test
    void taskRunsAfterAnErrorInAnEarlierOne() {
        List<String> ran = new ArrayList<>();
        loop.execute(() -> fail(new OutOfMemoryError("test")));
        loop.execute(() -> fail(new StackOverflowError("test")));
        loop.execute(() -> fail(new AssertionError("test")));
        loop.execute(() -> ran.add("later"));
        assertThat(ran).containsExactly("later");
        assertThat(fatalErrors).isEmpty();
    }

    /** Guards against repeated tasks that end after one of their runs has failed. */
    @Test
    void repeatedTaskRunsAgainAfterAnError() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        loop.start();
        loop.scheduleRepeatedly(1_000, () -> {
            runs.countDown();
            fail(new OutOfMemoryError("test"));
        });
        assertThat(runs.await(20, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against a process that goes on although nearly every task fails for lack of memory. */
    @Test
    void seriesOfVirtualMachineErrorsIsFatal() {
        for (int index = 0; index < ErrorMonitor.MAX_ERRORS; index++) {
            loop.execute(() -> fail(new OutOfMemoryError("test")));
        }
        assertThat(fatalErrors).hasSize(1);
    }

    @Test
    void errorsFarApartAreNotFatal() {
        AtomicInteger fatal = new AtomicInteger();
        ErrorMonitor monitor = new ErrorMonitor(error -> fatal.incrementAndGet());
        for (int index = 0; index < 3 * ErrorMonitor.MAX_ERRORS; index++) {
            monitor.record(new OutOfMemoryError("test"), index * ErrorMonitor.WINDOW_MICROS / 2);
        }
        assertThat(fatal.get()).isEqualTo(0);
    }
}
