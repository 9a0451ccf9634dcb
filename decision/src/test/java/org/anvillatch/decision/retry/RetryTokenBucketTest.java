package org.anvillatch.decision.retry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the token bucket, also for hosts that share one bound on retries. */
class RetryTokenBucketTest {
    @Test
    void hostsThatStartTogetherStayWithinTheirSharedBound() {
        int hosts = 16;
        double slack = 47;
        int spent = 0;
        for (int host = 0; host < hosts; host++) {
            RetryTokenBucket bucket = new RetryTokenBucket(0.1, () -> Math.max(1, slack / 2 / hosts), 1);
            while (bucket.trySpend()) {
                spent++;
            }
        }
        assertThat((double) spent).isAtMost(slack);
    }

    @Test
    void firstAttemptsAddTokensUpToTheMaximum() {
        RetryTokenBucket bucket = new RetryTokenBucket(0.5, () -> 2, 0);
        assertThat(bucket.trySpend()).isFalse();
        for (int attempt = 0; attempt < 10; attempt++) {
            bucket.recordFirstAttempt();
        }
        assertThat(bucket.trySpend()).isTrue();
        assertThat(bucket.trySpend()).isTrue();
        assertThat(bucket.trySpend()).isFalse();
    }
}
