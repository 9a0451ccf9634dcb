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
}
