package org.anvillatch.decision.membership;

/**
 * Status of a host in a membership view. Immutable and thread safe.
 */
public enum MemberStatus {
    /** The host answers. */
    ALIVE(true),
    /** The host did not answer a ping and may still refute the suspicion. */
    SUSPECT(true),
    /** The host reported that it leaves. */
    LEFT(false),
    /** The host did not refute the suspicion in time. */
    DEAD(false);

    private final boolean present;

    MemberStatus(boolean present) {
        this.present = present;
    }

    /**
     * Returns whether the host counts as present.
     *
     * @return true unless it has left or is dead
     */
    public boolean isPresent() {
        return present;
    }

    /**
     * Returns whether this status replaces another one for the same incarnation and update number.
     *
     * @param other the current status
     * @return true if this status takes precedence
     */
    public boolean supersedes(MemberStatus other) {
        return ordinal() > other.ordinal();
    }
}
