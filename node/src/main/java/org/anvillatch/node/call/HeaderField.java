package org.anvillatch.node.call;

/**
 * A header field of a request that is forwarded unchanged, or of its response. Immutable and thread safe.
 *
 * @param name name as received
 * @param value value as received
 */
public record HeaderField(String name, String value) {}
