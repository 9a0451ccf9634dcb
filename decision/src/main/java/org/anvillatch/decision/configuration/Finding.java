package org.anvillatch.decision.configuration;

/**
 * An error in an operator's input or in a setting. Immutable and thread safe.
 *
 * @param place location of the error, for example {@code line 2, column 14}
 * @param message description of the error
 */
public record Finding(String place, String message) {
    @Override
    public String toString() {
        return place + ": " + message;
    }
}
