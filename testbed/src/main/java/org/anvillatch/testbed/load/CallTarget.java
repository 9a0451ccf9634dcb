package org.anvillatch.testbed.load;

import java.util.random.RandomGenerator;

/**
 * Where callers send root requests. Implementations are thread safe.
 */
public interface CallTarget {
    /**
     * Chooses where the next attempt goes.
     *
     * @param operation {@code service/operation}
     * @param random source of randomness
     * @return a URL
     */
    String url(String operation, RandomGenerator random);

    /**
     * Chooses where idempotency keys are fetched.
     *
     * @param random source of randomness
     * @return a URL, or null if this target knows no keys
     */
    String keyUrl(RandomGenerator random);
}
