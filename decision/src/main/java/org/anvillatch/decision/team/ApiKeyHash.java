package org.anvillatch.decision.team;

import java.util.regex.Pattern;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * Computes the hash by which API keys are stored and compared, so that the keys themselves are neither kept nor sent to
 * other hosts. Stateless and thread safe.
 */
public final class ApiKeyHash {
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    /**
     * Length of a key id in characters. 64 bits suffice to distinguish the keys of one configuration, and each dispatch
     * between hosts carries an id.
     */
    private static final int ID_CHARS = 16;

    private ApiKeyHash() {}

    /**
     * Computes the hash of a key.
     *
     * @param key the key
     * @return SHA-256 of its UTF-8 bytes in lower-case hexadecimal digits
     */
    public static String of(String key) {
        return DigestUtils.sha256Hex(key);
    }

    /**
     * Returns whether a text has the form of a hash.
     *
     * @param text the text
     * @return true for 64 lower-case hexadecimal digits
     */
    public static boolean isHash(String text) {
        return HASH.matcher(text).matches();
    }

    /**
     * Returns the id by which hosts refer to a key. An id must never serve to authenticate a caller.
     *
     * @param hash hash of the key
     * @return the first digits of the hash
     */
    public static String idOf(String hash) {
        return hash.substring(0, ID_CHARS);
    }
}
