package org.anvillatch.node.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

import org.msgpack.core.MessageFormat;

/**
 * Checks that bytes are a sequence of complete MessagePack values before they are decoded. Decoders allocate what a length
 * claims before they notice that the bytes are not there, and recurse into nested values: few bytes from outside
 * could exhaust the memory or the stack of the process.
 *
 * <p>Invariant: the work and the memory are bounded by the length of the bytes. Confined to one thread.
 */
final class MessagePackScanner {
    /** Maximum nesting of values; messages between hosts nest less than a dozen. */
    static final int MAX_DEPTH = 32;

    private final ByteBuffer bytes;
    private final long[] missingValues = new long[MAX_DEPTH];
    private int depth;

    private MessagePackScanner(byte[] bytes) {
        this.bytes = ByteBuffer.wrap(bytes);
    }

    /**
     * Checks a message.
     *
     * @param bytes the encoded message
     * @throws FrameException if a value is incomplete, or nested more than {@link #MAX_DEPTH} deep; the message names its
     *     position
     */
    static void check(byte[] bytes) throws FrameException {
        new MessagePackScanner(bytes).scan();
    }

    private void scan() throws FrameException {
        while (bytes.hasRemaining() || depth > 0) {
            int start = bytes.position();
            try {
                scanValue();
            } catch (BufferUnderflowException | IllegalArgumentException incomplete) {
                throw new FrameException("value at byte " + start + " of a message is incomplete", null);
            }
            while (depth > 0 && missingValues[depth - 1] == 0) {
                depth--;
            }
        }
    }

    private void scanValue() throws FrameException {
        byte first = bytes.get();
        if (depth > 0) {
            missingValues[depth - 1]--;
        }
        switch (MessageFormat.valueOf(first)) {
            case POSFIXINT, NEGFIXINT, NIL, BOOLEAN -> {}
            case UINT8, INT8 -> skip(Byte.BYTES);
            case UINT16, INT16 -> skip(Short.BYTES);
            case UINT32, INT32, FLOAT32 -> skip(Integer.BYTES);
            case UINT64, INT64, FLOAT64 -> skip(Long.BYTES);
            case FIXSTR -> skip(first & 0x1F);
            case STR8, BIN8 -> skip(readLength8());
            case STR16, BIN16 -> skip(readLength16());
            case STR32, BIN32 -> skip(readLength32());
            case FIXARRAY -> open(first & 0x0F);
            case ARRAY16 -> open(readLength16());
            case ARRAY32 -> open(readLength32());
            case FIXMAP -> open(2L * (first & 0x0F));
            case MAP16 -> open(2L * readLength16());
            case MAP32 -> open(2L * readLength32());
            default ->
                throw new FrameException(
                        "value at byte " + (bytes.position() - 1) + " of a message has no type in use", null);
        }
    }

    private void skip(long length) {
        if (length > bytes.remaining()) {
            throw new BufferUnderflowException();
        }
        bytes.position(bytes.position() + (int) length);
    }

    private void open(long values) throws FrameException {
        if (values > bytes.remaining()) {
            throw new BufferUnderflowException();
        }
        if (depth == MAX_DEPTH) {
            throw new FrameException("message nests more than " + MAX_DEPTH + " deep", null);
        }
        if (values > 0) {
            missingValues[depth++] = values;
        }
    }

    private int readLength8() {
        return Byte.toUnsignedInt(bytes.get());
    }

    private int readLength16() {
        return Short.toUnsignedInt(bytes.getShort());
    }

    private long readLength32() {
        return Integer.toUnsignedLong(bytes.getInt());
    }
}
