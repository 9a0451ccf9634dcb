package org.anvillatch.decision.drain;

import java.util.Optional;

/**
 * Identity of one process of an endpoint: the platform may restart the endpoint under the same id. Immutable and thread
 * safe.
 *
 * @param id id by which the platform knows the endpoint
 * @param startMillis wall clock time at which the process started, in milliseconds; 0 if it was not reported
 */
public record InstanceIdentity(String id, long startMillis) {
    private static final char SEPARATOR = '@';

    /**
     * Parses the form that {@link #toString} writes.
     *
     * @param text text form of an identity, from another host or from the store
     * @return the identity, empty if the text is not such a form
     */
    public static Optional<InstanceIdentity> parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator <= 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new InstanceIdentity(text.substring(0, separator), Long.parseLong(text.substring(separator + 1))));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return id + SEPARATOR + startMillis;
    }
}
