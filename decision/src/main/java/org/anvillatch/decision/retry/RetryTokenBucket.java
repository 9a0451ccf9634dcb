package org.anvillatch.decision.retry;

import java.util.function.DoubleSupplier;

/**
 * Caps the retries towards one service at a share of its first tries, on top of each root request's budget (Google SRE
 * book, chapter "Handling Overload"). Not thread safe: owned by the host's decision loop.
 *
 * <p>Invariant: {@code 0 <= tokens <= MOST_TOKENS}.
 */
public final class RetryTokenBucket {
    /** Retries allowed for each first try. */
    public static final double SHARE = 0.1;

    /** Retries that may be saved up. */
    public static final double MOST_TOKENS = 20;

    private final double share;
    private final DoubleSupplier mostTokens;
    private double tokens;

    /** Creates a ratio with the usual share and all its tokens. */
    public RetryTokenBucket() {
        this(SHARE, () -> MOST_TOKENS, MOST_TOKENS);
    }

    /**
     * Creates a ratio.
     *
     * @param share tokens earned by each first try, as a fraction
     * @param mostTokens most tokens that are kept, which may change with the number of hosts that share a bound
     * @param firstTokens tokens at the start
     */
    public RetryTokenBucket(double share, DoubleSupplier mostTokens, double firstTokens) {
        this.share = share;
        this.mostTokens = mostTokens;
        this.tokens = firstTokens;
    }

    /** Notes a first try. */
    public void recordFirstAttempt() {
        tokens = Math.min(mostTokens.getAsDouble(), tokens + share);
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
