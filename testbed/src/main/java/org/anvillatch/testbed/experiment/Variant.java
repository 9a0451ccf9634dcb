package org.anvillatch.testbed.experiment;

import java.util.Locale;

/**
 * How calls are made in an experiment. Immutable and thread safe.
 */
public enum Variant {
    /** Callers and parents call a random endpoint, once. */
    DIRECT(false, 0),
    /** As direct, with three retries at each hop. */
    NAIVE_RETRY(false, 3),
    /** Through the nodes. */
    ANVILLATCH(true, 0);

    private final boolean nodes;
    private final int hopRetries;

    Variant(boolean nodes, int hopRetries) {
        this.nodes = nodes;
        this.hopRetries = hopRetries;
    }

    /**
     * Tells whether nodes run.
     *
     * @return true for the system itself
     */
    public boolean hasNodes() {
        return nodes;
    }

    /**
     * Returns the retries that each hop makes by itself.
     *
     * @return 0 or more
     */
    public int hopRetries() {
        return hopRetries;
    }

    /**
     * Returns the name on the command line.
     *
     * @return lower case words joined by a hyphen
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
