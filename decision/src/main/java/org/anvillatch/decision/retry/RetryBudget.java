package org.anvillatch.decision.retry;

/**
 * Retries that one execution and everything below it may still cause. A budget is partitioned, never copied: a nested
 * call takes a share and gives back what it did not spend; the share of a lost answer counts as spent.
 *
 * <p>Invariant: what is left plus all shares handed out never exceeds the budget given at the start. Not thread safe:
 * owned by the host's decision loop.
 */
public final class RetryBudget {
    private int remaining;

    /**
     * Creates a budget.
     *
     * @param retries retries allowed, 0 or more
     */
    public RetryBudget(int retries) {
        if (retries < 0) {
            throw new IllegalArgumentException("retries must be 0 or more but is " + retries);
        }
        this.remaining = retries;
    }

    /**
     * Returns the share of an attempt of the root request. The bound is divided in advance over the attempts a caller
     * may make, so that attempts which enter at different hosts, or in domains that are cut off from each other, need
     * no agreement: half of the bound pays for the caller's re-sends, the rest goes to the hosts, first attempt first.
     *
     * @param bound retries declared for the whole chain
     * @param attempt 0 for the first send, then 1 for each re-send
     * @return retries that the hosts may cause for this attempt, or -1 if the re-send itself exceeds the bound
     */
    public static int shareOfAttempt(int bound, int attempt) {
        int resends = bound / 2;
        if (attempt > resends) {
            return -1;
        }
        int hosts = bound - resends;
        int even = hosts / (resends + 1);
        int rest = hosts % (resends + 1);
        return even + (attempt < rest ? 1 : 0);
    }

    /**
     * Takes one retry.
     *
     * @return false if nothing is left
     */
    public boolean spend() {
        if (remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    /**
     * Takes the share of a nested call: half of what is left, rounded up.
     *
     * @return retries that the nested call may cause
     */
    public int takeShare() {
        int share = (remaining + 1) / 2;
        remaining -= share;
        return share;
    }

    /**
     * Gives back what a nested call did not spend.
     *
     * @param retries unspent retries named in the answer
     */
    public void returnUnspent(int retries) {
        remaining += Math.max(0, retries);
    }

    /**
     * Returns what is left.
     *
     * @return 0 or more
     */
    public int remaining() {
        return remaining;
    }
}
