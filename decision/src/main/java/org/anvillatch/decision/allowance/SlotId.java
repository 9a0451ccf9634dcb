package org.anvillatch.decision.allowance;

/**
 * Identifies a part of a team's allowance that one host owns. Immutable and thread safe.
 *
 * @param team name of the team
 * @param index number of the slot, or -1 for a reserve
 * @param domain failure domain of a reserve, or empty
 */
public record SlotId(String team, int index, String domain) {
    private static final int RESERVE = -1;

    /**
     * Creates the identity of a slot.
     *
     * @param team name of the team
     * @param index number of the slot
     * @return the identity
     */
    static SlotId slot(String team, int index) {
        return new SlotId(team, index, "");
    }

    /**
     * Creates the identity of a reserve, from which a failure domain gets tokens while owners cannot be reached.
     *
     * @param team name of the team
     * @param domain the failure domain
     * @return the identity
     */
    static SlotId reserve(String team, String domain) {
        return new SlotId(team, RESERVE, domain);
    }

    /**
     * Returns whether this is a reserve.
     *
     * @return false for a slot
     */
    public boolean isReserve() {
        return index == RESERVE;
    }
}
