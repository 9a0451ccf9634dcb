package org.anvillatch.decision.membership;

/**
 * A message that the host must send. Immutable and thread safe.
 */
public sealed interface MembershipAction {
    /**
     * Ask a host whether it is alive.
     *
     * @param address IP address and port
     * @param target name of the host, empty for a seed whose name is not known
     */
    record Ping(String address, String target) implements MembershipAction {}

    /**
     * Ask another host to ping a host that did not answer.
     *
     * @param address IP address and port of the helper
     * @param target name of the host that did not answer
     * @param targetAddress IP address and port of the host that did not answer
     */
    record IndirectPing(String address, String target, String targetAddress) implements MembershipAction {}

    /**
     * Compare views with a host and exchange the differences.
     *
     * @param address IP address and port
     */
    record Synchronize(String address) implements MembershipAction {}
}
