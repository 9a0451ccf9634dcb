package org.anvillatch.node.call;

/**
 * One header field of an exchange that is passed on unread. Immutable and thread safe.
 *
 * @param name name as it was received
 * @param value value as it was received
 */
public record HeaderField(String name, String value) {}
