package org.anvillatch.testbed.experiment;

import java.util.Locale;

/**
 * How calls are sent in an experiment. Immutable and thread safe.
 */
public enum Variant {
    /** Each call goes directly to a random endpoint, without retries between services. */
    DIRECT(false, 0),
    /** Like {@link #DIRECT}, with three retries at each hop. */
    NAIVE_RETRY(false, 3),
    /** All calls go through the nodes. */
    ANVILLATCH(true, 0);

    private final boolean nodes;
    private final int hopRetries;

    Variant(boolean nodes, int hopRetries) {
        this.nodes = nodes;
        this.hopRetries = hopRetries;
    }

    /**
     * Returns whether the variant runs nodes.
     *
     * @return true if calls go through nodes
     */
    public boolean hasNodes() {
        return nodes;
    }

    /**
     * Returns the maximum number of retries at each hop of a direct call.
     *
     * @return number of retries, 0 with nodes
     */
    public int hopRetries() {
        return hopRetries;
    }

    /**
     * Returns the name on the command line.
     *
     * @return lower-case words, joined by hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
