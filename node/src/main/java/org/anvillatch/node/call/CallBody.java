package org.anvillatch.node.call;

/**
 * Bytes of a request or an answer. The content must not be changed after construction. Thread safe under that rule.
 *
 * @param contentType media type, may be empty
 * @param content the bytes
 */
public record CallBody(String contentType, byte[] content) {
    /** No bytes. */
    public static final CallBody EMPTY = new CallBody("", new byte[0]);
}
