package org.anvillatch.decision.idempotency;

import java.util.Optional;

import org.anvillatch.decision.model.HostIdentity;

/**
 * An idempotency key that was issued by a host and is bound to that incarnation of the host. Only this incarnation ever
 * runs requests with the key, so the key leads to at most one execution even if hosts are partitioned, paused or
 * restarted. Immutable and thread safe.
 *
 * @param owner incarnation of the host that issued the key
 * @param sequence number of the key within that incarnation
 */
public record IssuedKey(HostIdentity owner, long sequence) {
    private static final String PREFIX = "avk1";
    private static final int PARTS = 4;

    /**
     * Parses the text form of a key.
     *
     * @param text value of the {@code Idempotency-Key} header
     * @return the key, or empty if the text is not a key that a host issued
     */
    public static Optional<IssuedKey> parse(String text) {
        String[] parts = text.split("~", -1);
        if (parts.length != PARTS || !parts[0].equals(PREFIX) || parts[1].isEmpty()) {
            return Optional.empty();
        }
        try {
            long incarnation = Long.parseUnsignedLong(parts[2], Character.MAX_RADIX);
            long sequence = Long.parseUnsignedLong(parts[3], Character.MAX_RADIX);
            return Optional.of(new IssuedKey(new HostIdentity(parts[1], incarnation), sequence));
        } catch (NumberFormatException malformedNumber) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return PREFIX + "~" + owner.name() + "~" + Long.toUnsignedString(owner.incarnation(), Character.MAX_RADIX) + "~"
                + Long.toUnsignedString(sequence, Character.MAX_RADIX);
    }
}
