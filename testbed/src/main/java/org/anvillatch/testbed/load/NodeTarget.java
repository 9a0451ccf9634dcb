package org.anvillatch.testbed.load;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Chooses a random node for each request. Thread safe.
 */
public final class NodeTarget implements CallTarget {
    private final Supplier<List<String>> addresses;

    /**
     * Creates a target.
     *
     * @param addresses supplies the current caller addresses of the nodes
     */
    public NodeTarget(Supplier<List<String>> addresses) {
        this.addresses = addresses;
    }

    private String randomNodeUrl(RandomGenerator random) {
        List<String> currentAddresses = addresses.get();
        return "http://" + currentAddresses.get(random.nextInt(currentAddresses.size()));
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
