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

    private double tokens = MOST_TOKENS;

    /** Notes a first try. */
    public void firstTry() {
        tokens = Math.min(MOST_TOKENS, tokens + SHARE);
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
