package org.anvillatch.node.listener;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests with sweeps at given times after the creation of the connection. */
class ProgressTest {
    private static final long HEADER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Progress progress = new Progress();
    private final long start = System.nanoTime();

    private String findProblemAfter(long seconds) {
        return progress.findProblem(start + TimeUnit.SECONDS.toNanos(seconds), HEADER_TIMEOUT_NANOS);
    }

    /** Guards against clients that send a head for ever, byte by byte. */
    @Test
    void headThatIsNotCompleteInTimeIsAProblem() {
        assertThat(findProblemAfter(1_000)).isNull();
        progress.read(1);
        assertThat(findProblemAfter(2)).isNull();
        progress.read(1);
        assertThat(findProblemAfter(60)).isNotNull();
    }

    /** Guards against clients that keep a body open by sending a byte before each idle timeout. */
    @Test
    void bodyMustProgressInEachPeriod() {
        progress.read(100);
        progress.headComplete(64 * 1024);
        assertThat(findProblemAfter(1)).isNull();
        progress.read((int) Progress.MIN_BYTES);
        assertThat(findProblemAfter(12)).isNull();
        progress.read((int) Progress.MIN_BYTES - 1);
        assertThat(findProblemAfter(23)).isNotNull();
    }

    /** Guards against clients that hold the memory of a large body for hours at the minimum rate. */
    @Test
    void minimumRateOfALargeBodyFollowsFromItsLength() {
        progress.read(100);
        progress.headComplete(60L << 20);
        assertThat(findProblemAfter(1)).isNull();
        progress.read(1 << 20);
        assertThat(findProblemAfter(12)).isNotNull();
    }

    /** Guards against the end of requests that take long at the endpoint. */
    @Test
    void processingTakesAnyTime() {
        progress.read(100);
        progress.headComplete(0);
        progress.requestComplete();
        for (int seconds = 1; seconds < 1_000; seconds += 7) {
            assertThat(findProblemAfter(seconds)).isNull();
        }
        assertThat(progress.replacementClass(start)).isEqualTo(Progress.IN_USE);
    }

    /** Guards against clients that do not read their responses. */
    @Test
    void responseMustProgressWhileItIsBeingWritten() {
        progress.read(100);
        progress.headComplete(0);
        progress.requestComplete();
        progress.responseStarted(1 << 20);
        progress.wrote(100_000, false);
        assertThat(findProblemAfter(1)).isNull();
        progress.wrote(200_000, false);
        assertThat(findProblemAfter(12)).isNull();
        assertThat(findProblemAfter(23)).isNotNull();
        progress.wrote(800_000, true);
        assertThat(findProblemAfter(34)).isNull();
        assertThat(findProblemAfter(45)).isNull();
    }

    /** Guards against new connections that replace the ones of ordinary callers before those of stalled ones. */
    @Test
    void connectionsWithoutARequestAreReplacedFirst() {
        assertThat(progress.replacementClass(start)).isEqualTo(0);
        progress.read(100);
        progress.headComplete(0);
        progress.requestComplete();
        progress.awaitingInput();
        long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        assertThat(progress.replacementClass(later)).isEqualTo(3);
        progress.read(1);
        assertThat(progress.replacementClass(later)).isEqualTo(1);
    }
}
