package org.anvillatch.decision.membership;

/**
 * How a host is believed to be. Immutable and thread safe.
 */
public enum MemberStatus {
    /** The host answers. */
    ALIVE(true),
    /** The host did not answer; it may refute. */
    SUSPECT(true),
    /** The host said that it leaves. */
    LEFT(false),
    /** The host did not refute the suspicion in time. */
    DEAD(false);

    private final boolean present;

    MemberStatus(boolean present) {
        this.present = present;
    }

    /**
     * Tells whether the host counts as present.
     *
     * @return true unless it left or died
     */
    public boolean isPresent() {
        return present;
    }

    /**
     * Tells whether this status overrides another one of the same incarnation and update number.
     *
     * @param other the status held so far
     * @return true if this one wins
     */
    public boolean supersedes(MemberStatus other) {
        return ordinal() > other.ordinal();
    }
}
