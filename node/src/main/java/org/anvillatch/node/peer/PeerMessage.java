package org.anvillatch.node.peer;

/**
 * A message between two hosts. Implementations are immutable.
 */
public interface PeerMessage {}
