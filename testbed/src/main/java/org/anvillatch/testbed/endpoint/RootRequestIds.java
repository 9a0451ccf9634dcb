package org.anvillatch.testbed.endpoint;

/**
 * Identities of root requests. An identity contains the importance level, so that every event of the request can record
 * it. Stateless and thread safe.
 */
public final class RootRequestIds {
    private RootRequestIds() {}

    /**
     * Creates the identity of a root request.
     *
     * @param importance importance level, 0 to 9
     * @param run name of the run
     * @param number number within the run
     * @return the identity
     */
    public static String create(int importance, String run, long number) {
        return importance + "-" + run + "-" + number;
    }

    /**
     * Returns the importance level in an identity.
     *
     * @param root the identity
     * @return the importance level, 0 if the identity has another form
     */
    public static int importanceOf(String root) {
        int hyphen = root.indexOf('-');
        if (hyphen != 1 || !Character.isDigit(root.charAt(0))) {
            return 0;
        }
        return root.charAt(0) - '0';
    }
}
