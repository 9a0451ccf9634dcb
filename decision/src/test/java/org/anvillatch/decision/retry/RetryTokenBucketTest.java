package org.anvillatch.decision.retry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Hosts that share one bound on retries. */
class RetryTokenBucketTest {
    @Test
    void hostsThatStartTogetherStayWithinTheSharedBound() {
        int hosts = 16;
        double slack = 47;
        int spent = 0;
        for (int host = 0; host < hosts; host++) {
            RetryTokenBucket ratio = new RetryTokenBucket(0.1, () -> Math.max(1, slack / 2 / hosts), 1);
            while (ratio.spend()) {
                spent++;
            }
        }
        assertThat((double) spent).isAtMost(slack);
    }

    @Test
    void firstTriesEarnRetriesUpToTheMost() {
        RetryTokenBucket ratio = new RetryTokenBucket(0.5, () -> 2, 0);
        assertThat(ratio.spend()).isFalse();
        for (int tries = 0; tries < 10; tries++) {
            ratio.recordFirstAttempt();
        }
        assertThat(ratio.spend()).isTrue();
        assertThat(ratio.spend()).isTrue();
        assertThat(ratio.spend()).isFalse();
    }
}
