package org.anvillatch.node.call;

import java.nio.ByteBuffer;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.anvillatch.node.memory.Reservation;
import org.anvillatch.node.memory.Segments;

/**
 * Body of a request or a response, in one or more segments.
 *
 * <p>Invariant: the segments are not modified after construction. A body whose memory is accounted for is released once,
 * by whoever writes it last; a released body has no bytes. Thread safe.
 */
@JsonAutoDetect(
        getterVisibility = JsonAutoDetect.Visibility.NONE,
        isGetterVisibility = JsonAutoDetect.Visibility.NONE,
        fieldVisibility = JsonAutoDetect.Visibility.NONE)
@JsonPropertyOrder({"contentType", "content"})
public final class CallBody {
    /** Empty body without a media type. */
    public static final CallBody EMPTY = new CallBody("", new byte[0]);

    private final String contentType;
    private final int length;
    private final Reservation reservation;
    private volatile List<ByteBuffer> segments;

    /**
     * Creates a body that is not accounted for.
     *
     * @param contentType media type, may be empty
     * @param content bytes of the body
     */
    @JsonCreator
    public CallBody(@JsonProperty("contentType") String contentType, @JsonProperty("content") byte[] content) {
        this(contentType, List.of(ByteBuffer.wrap(content)), null);
    }

    /**
     * Creates a body from its segments.
     *
     * @param contentType media type, may be empty
     * @param segments the bytes, which must not be modified any more
     * @param reservation memory of the body, or null; the body takes it over
     */
    public CallBody(String contentType, List<ByteBuffer> segments, Reservation reservation) {
        int total = 0;
        for (ByteBuffer segment : segments) {
            total += segment.remaining();
        }
        this.contentType = contentType;
        this.length = total;
        this.reservation = reservation;
        this.segments = segments;
        if (reservation != null && isLarge()) {
            reservation.closeWhenUnreachable(this);
        }
    }

    /**
     * Returns the media type.
     *
     * @return media type, may be empty
     */
    @JsonProperty("contentType")
    public String contentType() {
        return contentType;
    }

    /**
     * Returns the length.
     *
     * @return number of bytes, also after the release
     */
    public int length() {
        return length;
    }

    /**
     * Returns whether the body has more than one segment.
     *
     * @return true if it is large
     */
    public boolean isLarge() {
        return length > Segments.SEGMENT_BYTES;
    }

    /**
     * Returns the segments for reading.
     *
     * @return buffers with positions of their own
     */
    public ByteBuffer[] segments() {
        List<ByteBuffer> current = segments;
        ByteBuffer[] views = new ByteBuffer[current.size()];
        for (int index = 0; index < views.length; index++) {
            views[index] = current.get(index).duplicate();
        }
        return views;
    }

    /**
     * Returns all bytes in one array: that of the only segment, or a copy.
     *
     * @return the bytes, which must not be modified
     */
    @JsonProperty("content")
    public byte[] content() {
        List<ByteBuffer> current = segments;
        if (current.size() == 1) {
            ByteBuffer only = current.get(0);
            if (only.arrayOffset() == 0 && only.position() == 0 && only.remaining() == only.array().length) {
                return only.array();
            }
        }
        ByteBuffer joined = ByteBuffer.allocate(isReleased() ? 0 : length);
        for (ByteBuffer segment : current) {
            joined.put(segment.duplicate());
        }
        return joined.array();
    }

    /** Releases the memory of the body, which is not read any more by new readers. */
    public void release() {
        if (reservation != null) {
            segments = List.of();
            reservation.close();
        }
    }

    /**
     * Returns whether the body was released.
     *
     * @return true if it has no bytes any more
     */
    public boolean isReleased() {
        return segments.isEmpty();
    }
}
