package org.anvillatch.node.membership;

/**
 * Data whose version is sent along with gossip, so that a host notices when another host has a newer version. Not
 * thread safe: all methods are called on the decision loop.
 */
public interface VersionedState {
    /**
     * Returns the version of this host's data.
     *
     * @return a number that never decreases as long as the process runs
     */
    long version();

    /**
     * Called when another host has sent the version of its data.
     *
     * @param address peer address of the other host
     * @param version version of the other host's data
     */
    void peerVersionReceived(String address, long version);
}
