package org.anvillatch.decision.configuration;

/**
 * Something wrong in an operator's input or a setting, with its place. Immutable and thread safe.
 *
 * @param place where it is, for example {@code line 2, column 14}
 * @param message what is wrong
 */
public record Finding(String place, String message) {
    @Override
    public String toString() {
        return place + ": " + message;
    }
}
