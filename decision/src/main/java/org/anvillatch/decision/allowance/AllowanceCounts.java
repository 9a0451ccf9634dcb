package org.anvillatch.decision.allowance;

/** Counts of a host's decisions about allowances, over all teams. Not thread safe: owned by the decision loop. */
public final class AllowanceCounts {
    long granted;
    long refused;
    long released;
    long asked;
    long silent;
    long reserveTokens;

    AllowanceCounts() {}

    /**
     * Returns the requests that got a token.
     *
     * @return count
     */
    public long granted() {
        return granted;
    }

    /**
     * Returns the requests that were refused.
     *
     * @return count
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns the tokens of requests that did not run.
     *
     * @return count
     */
    public long released() {
        return released;
    }

    /**
     * Returns the requests for tokens to other hosts.
     *
     * @return count
     */
    public long asked() {
        return asked;
    }

    /**
     * Returns the requests for tokens that had no answer in time.
     *
     * @return count
     */
    public long silent() {
        return silent;
    }

    /**
     * Returns the tokens that reserves granted to this host.
     *
     * @return count
     */
    public long reserveTokens() {
        return reserveTokens;
    }
}
