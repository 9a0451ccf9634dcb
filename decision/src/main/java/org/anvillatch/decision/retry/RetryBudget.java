package org.anvillatch.decision.retry;

/**
 * Retry budget of one execution and all its nested calls. A budget is divided, never copied: a nested call gets a share
 * and returns what it did not spend; if its answer is lost, its whole share counts as spent.
 *
 * <p>Invariant: the remaining retries, the spent ones and the unreturned shares together never exceed the initial
 * budget. Not thread safe: owned by the host's decision loop.
 */
public final class RetryBudget {
    private int remaining;

    /**
     * Creates a budget.
     *
     * @param retries number of allowed retries, 0 or more
     */
    public RetryBudget(int retries) {
        if (retries < 0) {
            throw new IllegalArgumentException("retries must be 0 or more but is " + retries);
        }
        this.remaining = retries;
    }

    /**
     * Returns the share of one attempt of the root request. The bound is divided in advance over the attempts that a
     * caller may make, so that attempts that arrive at different hosts, or in partitioned failure domains, need no
     * coordination. Half of the bound, rounded down, covers the caller's retries. The other half is divided equally
     * over all attempts, for retries by hosts; the earliest attempts get one more each while a remainder lasts.
     *
     * @param bound maximum number of retries declared for the whole call tree
     * @param attempt 0 for the first attempt, then 1 more for each retry of the caller
     * @return retries that hosts may make for this attempt, or -1 if the attempt itself exceeds the bound
     */
    public static int shareOfAttempt(int bound, int attempt) {
        int callerRetries = bound / 2;
        if (attempt > callerRetries) {
            return -1;
        }
        int hostRetries = bound - callerRetries;
        int perAttempt = hostRetries / (callerRetries + 1);
        int remainder = hostRetries % (callerRetries + 1);
        return perAttempt + (attempt < remainder ? 1 : 0);
    }

    /**
     * Spends one retry.
     *
     * @return false if no retry is left
     */
    public boolean spend() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /**
     * Takes the share of a nested call: half of the remaining retries, rounded up.
     *
     * @return retries that the nested call may make
     */
    public int takeShare() {
        int share = (remaining + 1) / 2;
        remaining -= share;
        return share;
    }

    /**
     * Returns the unspent retries of a nested call to the budget.
     *
     * @param retries unspent retries, as reported in the answer
     */
    public void returnUnspent(int retries) {
        remaining += Math.max(0, retries);
    }

    /**
     * Returns the remaining retries.
     *
     * @return 0 or more
     */
    public int remaining() {
        return remaining;
    }
}
