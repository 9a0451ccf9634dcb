package org.anvillatch.decision.retry;

/**
 * Caps the retries towards one service at a share of its first tries, on top of each root request's budget (Google SRE
 * book, chapter "Handling Overload"). Not thread safe: owned by the host's decision loop.
 *
 * <p>Invariant: {@code 0 <= tokens <= MOST_TOKENS}.
 */
public final class RetryRatio {
    /** Retries allowed for each first try. */
    public static final double SHARE = 0.1;

    /** Retries that may be saved up. */
    public static final double MOST_TOKENS = 20;

    private final double share;
    private final double mostTokens;
    private double tokens;

    /** Creates a ratio with the usual share and tokens. */
    public RetryRatio() {
        this(SHARE, MOST_TOKENS);
    }

    /**
     * Creates a ratio.
     *
     * @param share tokens earned by each first try, as a fraction
     * @param mostTokens most tokens that are kept, and those at the start
     */
    public RetryRatio(double share, double mostTokens) {
        this.share = share;
        this.mostTokens = mostTokens;
        this.tokens = mostTokens;
    }

    /** Notes a first try. */
    public void firstTry() {
        tokens = Math.min(mostTokens, tokens + share);
    }

    /**
     * Takes one retry.
     *
     * @return false if the service has had its share of retries
     */
    public boolean spend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
