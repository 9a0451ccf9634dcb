package org.anvillatch.testbed.endpoint;

/**
 * Names of root requests, which carry their importance for the history. Stateless and thread safe.
 */
public final class RootRequestIds {
    private RootRequestIds() {}

    /**
     * Names a root request.
     *
     * @param importance position of its importance
     * @param run name of the run
     * @param number number within the run
     * @return the identity
     */
    public static String create(int importance, String run, long number) {
        return importance + "-" + run + "-" + number;
    }

    /**
     * Reads the importance from an identity.
     *
     * @param root the identity
     * @return position of the importance, 0 if the identity was made elsewhere
     */
    public static int importanceOf(String root) {
        int hyphen = root.indexOf('-');
        if (hyphen != 1 || !Character.isDigit(root.charAt(0))) {
            return 0;
        }
        return root.charAt(0) - '0';
    }
}
