package org.anvillatch.testbed.hostile;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** What a hostile connection sends, and whether it reads. Immutable and thread safe. */
enum Shape {
    /** A body of 8 MiB in one piece that stops just short of its end. */
    INCOMPLETE_BODY(true, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            return concat(
                    head("POST", path, "Content-Length: " + BODY_BYTES), new byte[BODY_BYTES - 1 - random.nextInt(9)]);
        }
    },
    /** The same in pieces of 100 bytes. */
    SMALL_PIECES(true, 100) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            return INCOMPLETE_BODY.content(path, random);
        }
    },
    /** A chunked body without a declared length that never ends. */
    CHUNKED_BODY(true, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            byte[] chunk = ("1000\r\n" + "x".repeat(0x1000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            ByteBuffer chunks = ByteBuffer.allocate(chunk.length * (BODY_BYTES / 0x1000));
            while (chunks.hasRemaining()) {
                chunks.put(chunk);
            }
            return concat(head("POST", path, "Transfer-Encoding: chunked"), chunks.array());
        }
    },
    /** A body that is declared, and sent, far over the limit. */
    OVERSIZED_BODY(true, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            return concat(head("POST", path, "Content-Length: 1000000000"), new byte[BODY_BYTES]);
        }
    },
    /** A head of legal size with very many short fields, which does not end. */
    MANY_FIELDS(true, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            byte[] head = head("GET", path, "a: b\r\n".repeat(2_500) + "c: d");
            return ByteBuffer.wrap(head, 0, head.length - 2);
        }
    },
    /** Many requests on one connection without reading the responses. */
    PIPELINE(false, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            byte[] request = head("GET", path, "x: y");
            ByteBuffer requests = ByteBuffer.allocate(request.length * 2_000);
            while (requests.hasRemaining()) {
                requests.put(request);
            }
            return requests.flip();
        }
    },
    /** A head that is sent byte by byte. */
    SLOW_SEND(true, 1) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            return ByteBuffer.wrap(head("GET", path, "x: " + "y".repeat(8_000)));
        }
    },
    /** Whole requests whose responses are never read. */
    NO_READ(false, Integer.MAX_VALUE) {
        @Override
        ByteBuffer content(String path, RandomGenerator random) {
            return ByteBuffer.wrap(head("GET", path, "x: y"));
        }
    };

    private static final int BODY_BYTES = 8 * 1024 * 1024;

    private final boolean reading;
    private final int pieceBytes;

    Shape(boolean reading, int pieceBytes) {
        this.reading = reading;
        this.pieceBytes = pieceBytes;
    }

    /** Returns all bytes that one connection sends. */
    abstract ByteBuffer content(String path, RandomGenerator random);

    /** Returns whether responses are read. */
    boolean isReading() {
        return reading;
    }

    /** Returns the maximum number of bytes that are sent at once. */
    int pieceBytes() {
        return pieceBytes;
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static byte[] head(String method, String path, String fields) {
        return (method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: h"
                        + Long.toHexString(System.nanoTime()) + "\r\nDeadline-Ms: 2000\r\n" + fields + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static ByteBuffer concat(byte[] head, byte[] body) {
        return ByteBuffer.allocate(head.length + body.length)
                .put(head)
                .put(body)
                .flip();
    }
}
