package org.anvillatch.node.membership;

/**
 * What gossip carries so that hosts notice newer versions elsewhere. Owned by the decision loop: all methods are called
 * on it.
 */
public interface VersionedState {
    /**
     * Returns how new this host's copy is.
     *
     * @return a number that never falls within one life of the process
     */
    long version();

    /**
     * Another host has said how new its copy is.
     *
     * @param address peer address of that host
     * @param version its version
     */
    void peerVersionReceived(String address, long version);
}
