package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slots that this host owns, and their buckets.
 *
 * <p>Invariants: this host owns a slot only while it is the first in the slot's order, and only after the second has
 * confirmed that it sees the same two hosts; the second owns the slot no longer at that time. A bucket is empty when the
 * ownership begins. Not thread safe: owned by the host's decision loop.
 */
final class OwnedSlots {
    /** Time between two claims of a slot that was not confirmed, in microseconds; gossip needs a few periods of 0.5 s. */
    private static final long CLAIM_PERIOD_MICROS = 500_000;

    /** Time for which a host counts among those that compete for tokens, in microseconds. */
    private static final long ASKER_RETENTION_MICROS = 1_000_000;

    /**
     * Requests a second that a slot answers without a token to give, besides twice its rate. They bound the cost of a
     * team that sends many times its allowance.
     */
    private static final double FRUITLESS_REQUESTS_PER_SECOND = 20;

    /** Capacity below which no token is given in advance: one host would hold much of a small team's burst. */
    private static final double MIN_CAPACITY_FOR_ADVANCE = 8;

    /** Fraction of the capacity below which a host gets no more than a fair part in advance. */
    private static final double SCARCE_FRACTION = 0.25;

    private static final long MAX_HOLD_MICROS = 1_000_000;

    /** Maximum time for which callers are told to wait, in microseconds; they give up after a few seconds. */
    private static final long MAX_HORIZON_MICROS = 5_000_000;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private static final class OwnedSlot {
        private final SlotBucket bucket;
        private final Map<String, Long> askedMicros = new HashMap<>();
        private Allowance allowance;
        private long horizonMicros;

        private OwnedSlot(SlotBucket bucket, Allowance allowance) {
            this.bucket = bucket;
            this.allowance = allowance;
        }
    }

    private final String self;
    private final Map<SlotId, OwnedSlot> owned = new HashMap<>();
    private final Map<SlotId, Long> claimsDueMicros = new HashMap<>();
    private Map<String, Allowance> allowances = Map.of();
    private Roster roster = new Roster(List.of());
    private boolean ownsAlone;

    /**
     * Creates the state of a host that owns no slot.
     *
     * @param self name of this host
     */
    OwnedSlots(String self) {
        this.self = self;
    }

    /**
     * Applies another configuration or another view of the hosts.
     *
     * @param newAllowances allowances by team
     * @param newRoster hosts
     * @param mayOwnAlone whether this host owns all slots if it knows no other host
     * @param nowMicros current time in microseconds
     */
    void update(Map<String, Allowance> newAllowances, Roster newRoster, boolean mayOwnAlone, long nowMicros) {
        allowances = newAllowances;
        roster = newRoster;
        ownsAlone = mayOwnAlone;
        Map<SlotId, Allowance> ranked = new HashMap<>();
        for (Allowance allowance : allowances.values()) {
            for (SlotId slot : slotsOf(allowance)) {
                if (roster.rank(slot).first().equals(self)) {
                    ranked.put(slot, allowance);
                }
            }
        }
        owned.keySet().retainAll(ranked.keySet());
        claimsDueMicros.keySet().retainAll(ranked.keySet());
        ranked.forEach((slot, allowance) -> configure(slot, allowance, nowMicros));
    }

    private Collection<SlotId> slotsOf(Allowance allowance) {
        List<SlotId> slots = new ArrayList<>();
        for (int index = 0; index < allowance.slots(); index++) {
            slots.add(SlotId.slot(allowance.team(), index));
        }
        for (String domain : roster.domains()) {
            slots.add(SlotId.reserve(allowance.team(), domain));
        }
        return slots;
    }

    private void configure(SlotId slot, Allowance allowance, long nowMicros) {
        OwnedSlot current = owned.get(slot);
        if (current == null) {
            claimsDueMicros.putIfAbsent(slot, nowMicros);
        } else {
            int domains = roster.domains().size();
            current.allowance = allowance;
            current.bucket.configure(allowance.rateOf(slot, domains), allowance.capacityOf(slot, domains), nowMicros);
        }
    }

    /**
     * Claims the slots that are not confirmed yet, and forgets hosts that no longer ask.
     *
     * @param nowMicros current time in microseconds
     * @param actions receives the claims to send
     */
    void tick(long nowMicros, List<AllowanceAction> actions) {
        for (SlotId slot : List.copyOf(claimsDueMicros.keySet())) {
            if (claimsDueMicros.get(slot) > nowMicros) {
                continue;
            }
            String witness = roster.rank(slot).second();
            if (!witness.isEmpty()) {
                claimsDueMicros.put(slot, nowMicros + CLAIM_PERIOD_MICROS);
                actions.add(new AllowanceAction.Claim(witness, slot));
            } else if (ownsAlone) {
                own(slot, nowMicros);
            }
        }
        for (OwnedSlot slot : owned.values()) {
            slot.askedMicros.values().removeIf(asked -> nowMicros - asked > ASKER_RETENTION_MICROS);
        }
    }

    /**
     * Records what another host sees as the first two hosts of a slot.
     *
     * @param witness name of the host
     * @param slot the slot
     * @param ranking the order in its view
     * @param nowMicros current time in microseconds
     */
    void claimAnswered(String witness, SlotId slot, Roster.Ranking ranking, long nowMicros) {
        boolean agreed = ranking.equals(roster.rank(slot)) && ranking.second().equals(witness);
        if (agreed && claimsDueMicros.containsKey(slot)) {
            own(slot, nowMicros);
        }
    }

    private void own(SlotId slot, long nowMicros) {
        claimsDueMicros.remove(slot);
        Allowance allowance = allowances.get(slot.team());
        int domains = roster.domains().size();
        SlotBucket bucket =
                new SlotBucket(allowance.rateOf(slot, domains), allowance.capacityOf(slot, domains), nowMicros);
        owned.put(slot, new OwnedSlot(bucket, allowance));
    }

    /**
     * Answers a request for tokens.
     *
     * @param host name of the host that asks, which may be this host
     * @param request the request
     * @param nowMicros current time in microseconds
     * @return the answer
     */
    TokenAnswer serve(String host, TokenRequest request, long nowMicros) {
        OwnedSlot slot = owned.get(request.slot());
        if (slot == null) {
            return TokenAnswer.notOwned(request.slot());
        }
        SlotBucket bucket = slot.bucket;
        if (request.unused() > 0) {
            bucket.giveBack(host, request.unused(), nowMicros);
        }
        if (request.needed() > 0) {
            slot.askedMicros.put(host, nowMicros);
        }
        int granted = bucket.take(host, request.needed(), Allowance.MIN_VALIDITY_MICROS, nowMicros);
        long validMicros = slot.allowance.validityMicros();
        int competitors = Math.max(1, slot.askedMicros.size());
        if (granted == request.needed() && bucket.capacity() >= MIN_CAPACITY_FOR_ADVANCE) {
            int available = bucket.available(nowMicros);
            int fairPart = 2 * available / (competitors + 1);
            int plenty = available - (int) (bucket.capacity() * SCARCE_FRACTION);
            int ahead = Math.min(request.wanted(), Math.max(fairPart, plenty));
            granted += bucket.take(host, ahead, validMicros, nowMicros);
        }
        double pollsPerSecond = 2 * bucket.rate() + FRUITLESS_REQUESTS_PER_SECOND;
        long competitionMicros = (long) Math.min(MAX_HOLD_MICROS, competitors / pollsPerSecond * MICROS_PER_SECOND);
        long nextMicros = bucket.waitMicros(1, nowMicros);
        return new TokenAnswer(
                request.slot(),
                true,
                granted,
                validMicros,
                Math.max(nextMicros, competitionMicros),
                nextMicros,
                advanceHorizon(slot, request.refused(), nowMicros));
    }

    /** Refused callers get the tokens after the ones that have been promised already. */
    private static long advanceHorizon(OwnedSlot slot, int refused, long nowMicros) {
        double waitMicros = Math.max(0, slot.horizonMicros - nowMicros)
                + refused / Math.max(slot.bucket.rate(), Double.MIN_NORMAL) * MICROS_PER_SECOND;
        slot.horizonMicros = nowMicros + (long) Math.min(MAX_HORIZON_MICROS, waitMicros);
        return slot.horizonMicros - nowMicros;
    }

    /**
     * Returns the number of slots of this host.
     *
     * @return slots and reserves
     */
    int size() {
        return owned.size();
    }

    /**
     * Returns the number of slots that this host may own but has not been confirmed for.
     *
     * @return slots and reserves
     */
    int unconfirmed() {
        return claimsDueMicros.size();
    }
}
