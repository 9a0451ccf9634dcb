package org.anvillatch.decision.model;

/**
 * Identity of one incarnation of a host. A host that is replaced keeps its name and gets a larger incarnation number.
 * Immutable and thread safe.
 *
 * @param name name of the host, unique at any time
 * @param incarnation number of the incarnation; larger is later
 */
public record HostIdentity(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }

    /** Implemented by hand because the method that is generated for a record is slow until it has been called often. */
    @Override
    public boolean equals(Object other) {
        return other instanceof HostIdentity otherIdentity
                && name.equals(otherIdentity.name)
                && incarnation == otherIdentity.incarnation;
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(incarnation);
    }
}
