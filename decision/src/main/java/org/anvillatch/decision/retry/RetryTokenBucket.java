package org.anvillatch.decision.retry;

import java.util.function.DoubleSupplier;

/**
 * Token bucket that limits the retries to one service to a fraction of the first attempts, in addition to the retry
 * budget of each root request (Google SRE book, chapter "Handling Overload"). Not thread safe: owned by the host's
 * decision loop.
 *
 * <p>Invariant: {@code tokens >= 0}, and {@code tokens <= maxTokens} after each first attempt.
 */
public final class RetryTokenBucket {
    /** Default number of tokens that are added by each first attempt; a retry spends one token. */
    public static final double TOKENS_PER_FIRST_ATTEMPT = 0.1;

    /** Default maximum number of tokens. */
    public static final double MAX_TOKENS = 20;

    private final double tokensPerFirstAttempt;
    private final DoubleSupplier maxTokens;
    private double tokens;

    /** Creates a full bucket with default settings. */
    public RetryTokenBucket() {
        this(TOKENS_PER_FIRST_ATTEMPT, () -> MAX_TOKENS, MAX_TOKENS);
    }

    /**
     * Creates a bucket.
     *
     * @param tokensPerFirstAttempt number of tokens that are added by each first attempt, a fraction
     * @param maxTokens maximum number of tokens, which may change with the number of hosts that share a bound
     * @param initialTokens initial number of tokens
     */
    public RetryTokenBucket(double tokensPerFirstAttempt, DoubleSupplier maxTokens, double initialTokens) {
        this.tokensPerFirstAttempt = tokensPerFirstAttempt;
        this.maxTokens = maxTokens;
        this.tokens = initialTokens;
    }

    /** Records a first attempt. */
    public void recordFirstAttempt() {
        tokens = Math.min(maxTokens.getAsDouble(), tokens + tokensPerFirstAttempt);
    }

    /**
     * Spends the token of one retry.
     *
     * @return false if no token is left
     */
    public boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
