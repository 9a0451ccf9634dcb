package org.anvillatch.node.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.decisionlog.Decision;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes frames. A frame consists of the length of all that follows it (4 bytes), a magic number
 * (2 bytes), the message kind (1 byte), flags (1 byte), the correlation (8 bytes) and the message in MessagePack. A
 * message is an array of its record components, except for the two messages that {@code CallCodec} encodes as a plain
 * sequence of values. Numbers are big-endian. New components may only be appended to a message. Thread safe.
 */
public final class FrameCodec {
    /** Maximum frame size in bytes, without the length field; larger bodies are sent in parts. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final short MAGIC = (short) 0xA417;
    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 12;
    private static final byte ANSWER_FLAG = 1;
    private static final ObjectMapper MAPPER = configureFrameMapper(new ObjectMapper(new MessagePackFactory()));

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ConfigurationChange.ImportanceOrder.class, name = "importance-order"),
        @JsonSubTypes.Type(value = ConfigurationChange.Operation.class, name = "operation"),
        @JsonSubTypes.Type(value = ConfigurationChange.RetryBound.class, name = "retry-bound"),
        @JsonSubTypes.Type(value = ConfigurationChange.Drain.class, name = "drain"),
        @JsonSubTypes.Type(value = ConfigurationChange.Team.class, name = "team"),
        @JsonSubTypes.Type(value = ConfigurationChange.TeamRemoval.class, name = "team-removal"),
        @JsonSubTypes.Type(value = ConfigurationChange.Quarantine.class, name = "quarantine")
    })
    private interface ConfigurationChangeMixIn {}

    private interface NamesTeamMixIn {
        @JsonDeserialize(using = TeamNameDeserializer.class)
        String team();
    }

    private FrameCodec() {}

    /** Writes records as arrays in component order, which keeps the field names out of the frames. */
    private static ObjectMapper configureFrameMapper(ObjectMapper mapper) {
        configure(mapper).setAnnotationIntrospector(new JsonArrayFormat());
        return mapper.setSerializationInclusion(JsonInclude.Include.ALWAYS);
    }

    /**
     * Configures a mapper for the types of the decision module.
     *
     * @param mapper a new mapper for any data format
     * @return the same mapper
     */
    public static ObjectMapper configure(ObjectMapper mapper) {
        return mapper.addMixIn(ConfigurationChange.class, ConfigurationChangeMixIn.class)
                .addMixIn(CallContext.class, NamesTeamMixIn.class)
                .addMixIn(Decision.class, NamesTeamMixIn.class)
                .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the encoded frame, ready for writing
     * @throws FrameException if the message is too large or cannot be encoded
     */
    public static ByteBuffer encode(Frame frame) throws FrameException {
        byte[] body = encodeBody(frame.message());
        int length = HEADER_BYTES + body.length;
        if (length > MAX_FRAME_BYTES) {
            throw new FrameException("frame of " + length + " bytes exceeds " + MAX_FRAME_BYTES, null);
        }
        ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + length);
        putHeader(buffer, MessageKind.of(frame.message()), body.length);
        buffer.put(frame.answer() ? ANSWER_FLAG : 0);
        buffer.putLong(frame.correlation());
        buffer.put(body);
        return buffer.flip();
    }

    /** Encodes all of a frame of {@link TransferMessages.Data} but its bytes, so that these are not copied. */
    static ByteBuffer encodeDataHeader(long correlation, boolean answer, int length) {
        return putHeader(ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES), MessageKind.TRANSFER_DATA, length)
                .put(answer ? ANSWER_FLAG : 0)
                .putLong(correlation)
                .flip();
    }

    private static ByteBuffer putHeader(ByteBuffer buffer, MessageKind kind, int bodyLength) {
        return buffer.putInt(HEADER_BYTES + bodyLength).putShort(MAGIC).put((byte) kind.code());
    }

    static byte[] encodeBody(PeerMessage message) throws FrameException {
        try {
            if (message instanceof DispatchMessage dispatch) {
                return CallCodec.encode(dispatch);
            }
            if (message instanceof CallAnswer answer) {
                return CallCodec.encode(answer);
            }
            if (message instanceof TransferMessages.Data data) {
                return data.bytes();
            }
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException cause) {
            throw new FrameException("cannot encode " + message.getClass().getSimpleName(), cause);
        }
    }

    /**
     * Decodes the next frame if the buffer holds all of it.
     *
     * @param buffer received bytes; the position moves past a decoded frame
     * @return the frame, or empty if more bytes are needed
     * @throws FrameException if the bytes do not form a frame
     */
    public static Optional<Frame> decode(ByteBuffer buffer) throws FrameException {
        if (buffer.remaining() < LENGTH_BYTES) {
            return Optional.empty();
        }
        int length = buffer.getInt(buffer.position());
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new FrameException(
                    "frame length " + length + " is not " + HEADER_BYTES + " to " + MAX_FRAME_BYTES, null);
        }
        if (buffer.remaining() < LENGTH_BYTES + length) {
            return Optional.empty();
        }
        buffer.getInt();
        return Optional.of(decodeComplete(buffer, length));
    }

    private static Frame decodeComplete(ByteBuffer buffer, int length) throws FrameException {
        short magic = buffer.getShort();
        if (magic != MAGIC) {
            throw new FrameException("unexpected magic number at byte 4: " + Integer.toHexString(magic & 0xFFFF), null);
        }
        int code = buffer.get();
        boolean answer = buffer.get() == ANSWER_FLAG;
        long correlation = buffer.getLong();
        byte[] body = new byte[length - HEADER_BYTES];
        buffer.get(body);
        MessageKind kind = MessageKind.fromCode(code);
        if (kind == null) {
            throw new FrameException("message kind " + code + " at byte 6 is not assigned", null);
        }
        return new Frame(correlation, answer, decodeBody(kind, body));
    }

    static PeerMessage decodeBody(MessageKind kind, byte[] body) throws FrameException {
        if (kind == MessageKind.TRANSFER_DATA) {
            return new TransferMessages.Data(body);
        }
        MessagePackScanner.check(body);
        try {
            if (kind == MessageKind.DISPATCH) {
                return CallCodec.decodeDispatch(body);
            }
            if (kind == MessageKind.CALL_ANSWER) {
                return CallCodec.decodeAnswer(body);
            }
            PeerMessage message = MAPPER.readValue(body, kind.type());
            if (message == null) {
                throw new FrameException("message of kind " + kind + " is empty", null);
            }
            return message;
        } catch (IOException | RuntimeException cause) {
            throw new FrameException("message of kind " + kind + " is malformed: " + cause.getMessage(), cause);
        }
    }
}
