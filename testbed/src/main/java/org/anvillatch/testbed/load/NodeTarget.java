package org.anvillatch.testbed.load;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Sends root requests to any node. Thread safe.
 */
public final class NodeTarget implements CallTarget {
    private final Supplier<List<String>> addresses;

    /**
     * Creates a target.
     *
     * @param addresses where nodes take callers, at this moment
     */
    public NodeTarget(Supplier<List<String>> addresses) {
        this.addresses = addresses;
    }

    private String randomNodeUrl(RandomGenerator random) {
        List<String> now = addresses.get();
        return "http://" + now.get(random.nextInt(now.size()));
    }

    @Override
    public String url(String operation, RandomGenerator random) {
        return randomNodeUrl(random) + "/v1/call/" + operation;
    }

    @Override
    public String keyUrl(RandomGenerator random) {
        return randomNodeUrl(random) + "/v1/keys";
    }
}
