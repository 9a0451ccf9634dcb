package org.anvillatch.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.anvillatch.node.loop.DecisionLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReadinessTest {
    private final NodeThreads threads = new NodeThreads();
    private final DecisionLoop loop = new DecisionLoop();
    private boolean condition = true;
    private final Readiness readiness = new Readiness(loop, threads.scheduler(), () -> condition);

    @BeforeEach
    void start() throws StartException {
        threads.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
        threads.stop();
    }

    private boolean check() throws Exception {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        readiness.check(answer::complete);
        return answer.get(20, TimeUnit.SECONDS);
    }

    @Test
    void answerIsThatOfTheCondition() throws Exception {
        assertThat(check()).isTrue();
        condition = false;
        assertThat(check()).isFalse();
    }

    /** Guards against a node that reports that it can serve while its decisions hang. */
    @Test
    void nodeWhoseLoopHangsIsNotReady() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Thread hanging = new Thread(() -> loop.execute(() -> {
            blocked.countDown();
            awaitUninterrupted(release);
        }));
        hanging.start();
        assertThat(blocked.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(check()).isFalse();
        release.countDown();
        hanging.join();
        assertThat(check()).isTrue();
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
