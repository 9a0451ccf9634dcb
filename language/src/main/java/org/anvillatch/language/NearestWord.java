package org.anvillatch.language;

import java.util.Collection;
import java.util.Locale;

/**
 * Finds the valid word that is closest to a misspelt word by edit distance. Stateless and thread safe.
 */
final class NearestWord {
    private static final int MAX_EDITS = 3;

    private NearestWord() {}

    /**
     * Returns the valid word that is closest to a given word.
     *
     * @param given the given word
     * @param valid the valid words
     * @return the closest valid word, or null if none is close enough
     */
    static String of(String given, Collection<String> valid) {
        String nearest = null;
        int minEdits = Math.min(MAX_EDITS, given.length() / 2) + 1;
        for (String word : valid) {
            int distance = editDistance(given.toLowerCase(Locale.ROOT), word.toLowerCase(Locale.ROOT));
            if (distance < minEdits) {
                minEdits = distance;
                nearest = word;
            }
        }
        return nearest;
    }

    private static int editDistance(String from, String to) {
        int[] previous = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            int[] current = new int[to.length() + 1];
            current[0] = row;
            for (int column = 1; column <= to.length(); column++) {
                int replacementCost = from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1;
                int insertOrDelete = Math.min(current[column - 1], previous[column]) + 1;
                current[column] = Math.min(insertOrDelete, previous[column - 1] + replacementCost);
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
