package org.anvillatch.decision.model;

/**
 * One life of a host: a host that is replaced keeps its name and takes a larger incarnation. Immutable and thread safe.
 *
 * @param name name of the host, unique at any time
 * @param incarnation number of this life; larger is later
 */
public record HostIdentity(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "#" + incarnation;
    }

    /** Written out, because the method that records generate is slow until it has been called often. */
    @Override
    public boolean equals(Object other) {
        return other instanceof HostIdentity that && name.equals(that.name) && incarnation == that.incarnation;
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(incarnation);
    }
}
