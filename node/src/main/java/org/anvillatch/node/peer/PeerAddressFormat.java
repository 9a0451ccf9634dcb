package org.anvillatch.node.peer;

import java.util.regex.Pattern;

/**
 * Form of the peer addresses that hosts announce: an IPv4 address or an IPv6 address in brackets, a colon and a port.
 * Names are not accepted, since their resolution would block. Stateless and thread safe.
 */
public final class PeerAddressFormat {
    /** Maximum length in characters, that of an IPv6 address with an embedded IPv4 address, brackets and a port. */
    public static final int MAX_LENGTH = 53;

    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IP_V4 = Pattern.compile(OCTET + "(?:\\." + OCTET + "){3}");
    private static final Pattern IP_V6 = Pattern.compile("\\[[0-9a-fA-F:.]{2,45}\\]");
    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;

    private PeerAddressFormat() {}

    /**
     * Returns whether a text is an address at which a host can listen.
     *
     * @param text any text, also of another writer
     * @return true for an IP address and a port from 1 to 65535
     */
    public static boolean isValid(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || text.length() > MAX_LENGTH) {
            return false;
        }
        String host = text.substring(0, colon);
        String port = text.substring(colon + 1);
        return (IP_V4.matcher(host).matches() || IP_V6.matcher(host).matches())
                && PORT.matcher(port).matches()
                && Integer.parseInt(port) <= MAX_PORT;
    }
}
