package org.anvillatch.language;

import java.util.Collection;
import java.util.Locale;

/**
 * Finds the valid word that a misspelt word most likely stands for. Stateless and thread safe.
 */
final class NearestWord {
    private static final int MOST_EDITS = 3;

    private NearestWord() {}

    /**
     * Finds the nearest word.
     *
     * @param given the word that was given
     * @param valid the valid words
     * @return the nearest one, or null if none is near
     */
    static String of(String given, Collection<String> valid) {
        String nearest = null;
        int fewest = Math.min(MOST_EDITS, given.length() / 2) + 1;
        for (String word : valid) {
            int edits = edits(given.toLowerCase(Locale.ROOT), word.toLowerCase(Locale.ROOT));
            if (edits < fewest) {
                fewest = edits;
                nearest = word;
            }
        }
        return nearest;
    }

    private static int edits(String from, String to) {
        int[] previous = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            int[] current = new int[to.length() + 1];
            current[0] = row;
            for (int column = 1; column <= to.length(); column++) {
                int change = from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1;
                int insertOrDelete = Math.min(current[column - 1], previous[column]) + 1;
                current[column] = Math.min(insertOrDelete, previous[column - 1] + change);
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
