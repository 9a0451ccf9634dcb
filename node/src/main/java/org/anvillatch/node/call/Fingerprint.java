package org.anvillatch.node.call;

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
    public static String of(String name, byte[] content) {
        int seed = MurmurHash3.hash32x86(name.getBytes(StandardCharsets.UTF_8));
        long[] hash = MurmurHash3.hash128x64(content, 0, content.length, seed);
        HexFormat hex = HexFormat.of();
        return hex.toHexDigits(seed) + hex.toHexDigits(hash[0]);
    }
}
