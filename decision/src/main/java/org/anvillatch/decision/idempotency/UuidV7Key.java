package org.anvillatch.decision.idempotency;

import java.util.OptionalLong;

/**
 * Idempotency keys that callers choose: UUIDs of version 7 (RFC 9562), whose first 48 bits are the creation time of the
 * key. Stateless and thread safe.
 */
public final class UuidV7Key {
    private static final String UUID_V7_PATTERN = "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}";
    private static final int HEX_RADIX = 16;

    private UuidV7Key() {}

    /**
     * Returns the creation time of a key.
     *
     * @param key value of the {@code Idempotency-Key} header
     * @return milliseconds since 1970, or empty if the key is not a UUID of version 7
     */
    public static OptionalLong timeMillis(String key) {
        if (!key.matches(UUID_V7_PATTERN)) {
            return OptionalLong.empty();
        }
        String digits = key.substring(0, 8) + key.substring(9, 13);
        return OptionalLong.of(Long.parseLong(digits, HEX_RADIX));
    }
}
