package org.anvillatch.node.call;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes the hash that identifies equal requests, such as repetitions of one that crashes endpoints. Stateless and
 * thread safe.
 */
public final class Fingerprint {
    private Fingerprint() {}

    /**
     * Computes the fingerprint of a request.
     *
     * @param name operation or target of the request, without parts that differ between two attempts
     * @param content body of the request
     * @return the hash, 24 hexadecimal digits
     */
    public static String of(String name, CallBody content) {
        int seed = MurmurHash3.hash32x86(name.getBytes(StandardCharsets.UTF_8));
        int segmentSeed = seed;
        long hash = 0;
        for (ByteBuffer segment : content.segments()) {
            hash = MurmurHash3.hash128x64(
                    segment.array(), segment.arrayOffset() + segment.position(), segment.remaining(), segmentSeed)[0];
            segmentSeed = Long.hashCode(hash);
        }
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(seed) + hex.toHexDigits(hash);
    }
}
