package org.anvillatch.decision.retry;

import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

/** Checks that a call tree of any shape makes no more retries than the declared bound, whatever answers are lost. */
class RetryBudgetProperties {
    private static final int DEPTH = 16;
    private static final int MAX_FANOUT = 4;

    @Property(tries = 200, seed = "7")
    void callTreeStaysWithinItsBudget(
            @ForAll @IntRange(max = 20) int bound, @ForAll long seed, @ForAll @IntRange(max = 100) int lossPercent) {
        CallTree tree = new CallTree(new SplittableRandom(seed), lossPercent);
        tree.call(bound, DEPTH);
        assertThat(tree.retries).isAtMost(bound);
    }

    @Property(tries = 200, seed = "7")
    void allAttemptsOfACallerTogetherStayWithinTheBound(@ForAll @IntRange(max = 100) int bound) {
        int total = 0;
        int attempt = 0;
        while (RetryBudget.shareOfAttempt(bound, attempt) >= 0) {
            total += RetryBudget.shareOfAttempt(bound, attempt);
            attempt++;
        }
        int callerRetries = attempt - 1;
        assertThat(total + callerRetries).isAtMost(bound);
    }

    private static final class CallTree {
        private final SplittableRandom random;
        private final int lossPercent;
        private int retries;
        private int calls;

        private CallTree(SplittableRandom random, int lossPercent) {
            this.random = random;
            this.lossPercent = lossPercent;
        }

        /** Makes one call with all its retries and returns the unspent retries. */
        private int call(int retryBudget, int depth) {
            RetryBudget budget = new RetryBudget(retryBudget);
            boolean lost = true;
            while (lost) {
                int share = budget.takeShare();
                int unspent = execute(share, depth);
                lost = random.nextInt(100) < lossPercent;
                if (!lost) {
                    budget.returnUnspent(unspent);
                } else if (!budget.spend()) {
                    return 0;
                } else {
                    retries++;
                }
            }
            return budget.remaining();
        }

        private int execute(int retryBudget, int depth) {
            RetryBudget budget = new RetryBudget(retryBudget);
            int fanout = depth == 0 || calls > 2_000 ? 0 : 1 + random.nextInt(MAX_FANOUT);
            for (int index = 0; index < fanout; index++) {
                calls++;
                budget.returnUnspent(call(budget.takeShare(), depth - 1));
            }
            return budget.remaining();
        }
    }
}
