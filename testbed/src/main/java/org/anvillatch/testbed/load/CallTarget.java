package org.anvillatch.testbed.load;

import java.util.random.RandomGenerator;

/**
 * Chooses where callers send root requests. Implementations are thread safe.
 */
public interface CallTarget {
    /**
     * Chooses the URL of the next attempt.
     *
     * @param operation {@code service/operation}
     * @param random source of randomness
     * @return the URL
     */
    String url(String operation, RandomGenerator random);

    /**
     * Chooses the URL from which to fetch an idempotency key.
     *
     * @param random source of randomness
     * @return the URL, or null if the target issues no idempotency keys
     */
    String keyUrl(RandomGenerator random);
}
