package org.anvillatch.decision.membership;

/**
 * A message that the host must send. Immutable and thread safe.
 */
public sealed interface MembershipAction {
    /**
     * Ask a host whether it is alive.
     *
     * @param address IP number and port
     * @param target name of the host, empty for a seed whose name is not known
     */
    record Ping(String address, String target) implements MembershipAction {}

    /**
     * Ask another host to ping a host that did not answer.
     *
     * @param address IP number and port of the helper
     * @param target name of the silent host
     * @param targetAddress IP number and port of the silent host
     */
    record IndirectPing(String address, String target, String targetAddress) implements MembershipAction {}

    /**
     * Compare views with a host and exchange what differs.
     *
     * @param address IP number and port
     */
    record Synchronize(String address) implements MembershipAction {}
}
