package org.anvillatch.decision.allowance;

/**
 * Requests that one team may send over all hosts together, and how they are divided into slots. Immutable and thread
 * safe.
 *
 * <p>Invariant: in 5 s, all slots and reserves together grant at most {@code 1.1 * (5 * ratePerSecond + burst) + 20}
 * requests.
 *
 * @param team name of the team
 * @param ratePerSecond requests a second, more than 0
 * @param burst requests beyond the rate, at least 0
 */
public record Allowance(String team, double ratePerSecond, double burst) {
    /** Maximum number of slots: each host that asks tries some of them, and a dead owner loses one of them. */
    public static final int MAX_SLOTS = 16;

    /** Minimum validity of tokens, in microseconds; an owner's answer that takes longer is not used. */
    public static final long MIN_VALIDITY_MICROS = 100_000;

    private static final long MAX_VALIDITY_MICROS = 1_000_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    /** Requests of a slot in 5 s. A smaller slot could not hold the few tokens that even out random arrivals. */
    private static final double REQUESTS_PER_SLOT = 16;

    private static final double WINDOW_SECONDS = 5;

    /**
     * Reserves: 0.8 of the 20 requests and 0.4 of the tenth of the allowance by which the bound exceeds the allowance. The
     * rest covers requests that wait before they run, which are more for a larger team.
     */
    private static final double RESERVED_REQUESTS = 16;

    private static final double RESERVED_FRACTION = 0.04;

    private double windowRequests() {
        return WINDOW_SECONDS * ratePerSecond + burst;
    }

    /**
     * Returns the number of slots.
     *
     * @return 1 to {@link #MAX_SLOTS}
     */
    public int slots() {
        return (int) Math.max(1, Math.min(MAX_SLOTS, windowRequests() / REQUESTS_PER_SLOT));
    }

    /**
     * Returns the rate of a slot.
     *
     * @param slot one of the team's slots
     * @param domains number of failure domains
     * @return tokens a second
     */
    double rateOf(SlotId slot, int domains) {
        return slot.isReserve() ? reservedRequests() / 2 / WINDOW_SECONDS / domains : ratePerSecond / slots();
    }

    /**
     * Returns the capacity of a slot's bucket.
     *
     * @param slot one of the team's slots
     * @param domains number of failure domains
     * @return tokens
     */
    double capacityOf(SlotId slot, int domains) {
        return slot.isReserve() ? reservedRequests() / 2 / domains : slotCapacity();
    }

    /** Tokens that have been handed out occupy the bucket for a moment, so it must hold more than the burst if small. */
    private double slotCapacity() {
        double minimum = 1 + ratePerSecond / slots() * MIN_VALIDITY_MICROS / MICROS_PER_SECOND;
        return Math.max(burst / slots(), minimum);
    }

    private double reservedRequests() {
        double excess = slotCapacity() * slots() - burst;
        return Math.max(0, RESERVED_REQUESTS + RESERVED_FRACTION * windowRequests() - excess);
    }

    /**
     * Returns how long tokens are valid that were asked for in advance: half of the time in which a bucket fills, so that
     * tokens on hosts occupy no more than half of it.
     *
     * @return time in microseconds
     */
    long validityMicros() {
        double fillMicros = slotCapacity() / (ratePerSecond / slots()) * MICROS_PER_SECOND;
        return (long) Math.max(MIN_VALIDITY_MICROS, Math.min(MAX_VALIDITY_MICROS, fillMicros / 2));
    }
}
