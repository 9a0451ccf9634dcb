package org.anvillatch.node.peer;

/**
 * One frame: a message with the number that joins a request to its answer. Immutable and thread safe.
 *
 * @param correlation number of the request on its connection; an answer carries that of its request
 * @param answer true if this answers a request of the receiver
 * @param message the message
 */
public record Frame(long correlation, boolean answer, PeerMessage message) {}
