package org.anvillatch.node.call;

/**
 * Body of a request or a response. Thread safe as long as the content array is not modified after construction.
 *
 * @param contentType media type, may be empty
 * @param content bytes of the body
 */
public record CallBody(String contentType, byte[] content) {
    /** Empty body without a media type. */
    public static final CallBody EMPTY = new CallBody("", new byte[0]);
}
