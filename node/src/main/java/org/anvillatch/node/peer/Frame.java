package org.anvillatch.node.peer;

/**
 * A message together with the number that matches an answer to its request. Immutable and thread safe.
 *
 * @param correlation number of the request on its connection; an answer repeats the number of its request
 * @param answer true if the message answers a request that the receiver sent
 * @param message the message
 */
public record Frame(long correlation, boolean answer, PeerMessage message) {}
