package org.anvillatch.decision.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The tokens of one team on this host, and its requests that wait for one.
 *
 * <p>Invariants: at most one request for tokens is unanswered; a token is used at most once, and not after its expiry on
 * this host's clock; a request is refused only when no slot that can be reached is known to have a token. Not thread
 * safe: owned by the host's decision loop.
 */
final class TeamStock {
    /** Time for which a slot is not asked after a host answered that it does not own it, in microseconds. */
    private static final long NOT_OWNED_MICROS = 500_000;

    /** Maximum number of owners that do not answer before the requests that wait are decided without them. */
    private static final int MAX_SILENT_OWNERS = 2;

    /** Maximum number of requests that wait, so that a team far above its allowance cannot fill the memory. */
    private static final int MAX_WAITING = 1_000;

    private static final long MIN_RETRY_MICROS = 10_000;
    private static final long MAX_RETRY_MICROS = 5_000_000;

    /** Time after which callers may try again if owners cannot be reached, in microseconds. */
    private static final long UNREACHABLE_RETRY_MICROS = 1_000_000;

    /** Time over which the demand is averaged, in microseconds. */
    private static final double DEMAND_MICROS = 1_000_000;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long UNKNOWN = -1;

    private record Batch(SlotId slot, int tokens, long expiryMicros) {}

    private record OutstandingAsk(KnownSlot slot, TokenRequest request, long sentMicros) {}

    /** A slot as this host knows it: its owner, when it is asked again and when it has a token again. */
    private static final class KnownSlot {
        private final SlotId id;
        private final String owner;
        private long askMicros;
        private long tokenMicros = UNKNOWN;
        private boolean disowned;

        private KnownSlot(SlotId id, String owner) {
            this.id = id;
            this.owner = owner;
        }

        private void hold(long untilMicros, long nextTokenMicros, boolean notOwned) {
            askMicros = untilMicros;
            tokenMicros = nextTokenMicros;
            disowned = notOwned;
        }
    }

    private final HostView view;
    private final RandomGenerator random;
    private final Deque<Batch> batches = new ArrayDeque<>();
    private final Deque<Long> waiting = new ArrayDeque<>();
    private final List<KnownSlot> slots = new ArrayList<>();
    private final Map<SlotId, Integer> unused = new HashMap<>();
    private final AllowanceCounts counts;
    private Allowance allowance;
    private Roster slotsRoster;
    private KnownSlot reserve;
    private OutstandingAsk outstanding;
    private SlotId lastSlot;
    private double demand;
    private long demandMicros;
    private int silentOwners;
    private int unreportedRefusals;
    private long horizonMicros;
    private long answeredMicros;

    TeamStock(Allowance allowance, HostView view, AllowanceCounts counts, RandomGenerator random) {
        this.allowance = allowance;
        this.view = view;
        this.counts = counts;
        this.random = random;
    }

    void configure(Allowance next) {
        allowance = next;
        slotsRoster = null;
    }

    /** Finds the owners again after a change of the allowance or of the hosts. */
    private void refreshSlots() {
        if (slotsRoster == view.roster()) {
            return;
        }
        slotsRoster = view.roster();
        slots.clear();
        for (int index = 0; index < allowance.slots(); index++) {
            slots.add(knownSlot(SlotId.slot(allowance.team(), index)));
        }
        reserve = knownSlot(SlotId.reserve(allowance.team(), view.domain()));
    }

    private KnownSlot knownSlot(SlotId id) {
        return new KnownSlot(id, view.ownerOf(id));
    }

    /** Decides about a request, or keeps it waiting for an answer. */
    void acquire(long ticket, long nowMicros, List<AllowanceAction> actions) {
        demand = demand * Math.exp((demandMicros - nowMicros) / DEMAND_MICROS) + 1;
        demandMicros = nowMicros;
        expire(nowMicros);
        if (waiting.isEmpty() && takeToken()) {
            grant(ticket, actions);
        } else if (waiting.size() >= MAX_WAITING) {
            refuse(ticket, nowMicros, actions);
        } else {
            waiting.add(ticket);
            proceed(nowMicros, actions);
        }
    }

    private void grant(long ticket, List<AllowanceAction> actions) {
        counts.granted++;
        actions.add(new AllowanceAction.Grant(ticket));
    }

    private void refuse(long ticket, long nowMicros, List<AllowanceAction> actions) {
        counts.refused++;
        unreportedRefusals++;
        actions.add(new AllowanceAction.Refuse(ticket, retryMicros(nowMicros)));
    }

    private long retryMicros(long nowMicros) {
        long next = MAX_RETRY_MICROS;
        for (KnownSlot slot : slots) {
            if (slot.tokenMicros != UNKNOWN) {
                next = Math.min(next, slot.tokenMicros - nowMicros);
            }
        }
        if (next == MAX_RETRY_MICROS) {
            next = UNREACHABLE_RETRY_MICROS;
        }
        next = Math.max(MIN_RETRY_MICROS, next);
        double spread = Math.max(0, horizonMicros - nowMicros)
                + unreportedRefusals / allowance.ratePerSecond() * MICROS_PER_SECOND;
        return Math.min(MAX_RETRY_MICROS, next + (long) (random.nextDouble() * spread));
    }

    private boolean takeToken() {
        Batch batch = batches.poll();
        if (batch == null) {
            return false;
        }
        if (batch.tokens() > 1) {
            batches.addFirst(new Batch(batch.slot(), batch.tokens() - 1, batch.expiryMicros()));
        }
        return true;
    }

    private void expire(long nowMicros) {
        Iterator<Batch> iterator = batches.iterator();
        while (iterator.hasNext()) {
            Batch batch = iterator.next();
            if (batch.expiryMicros() <= nowMicros) {
                unused.merge(batch.slot(), batch.tokens(), Integer::sum);
                iterator.remove();
            }
        }
    }

    /** Asks for tokens for the requests that wait, or refuses them if there is no slot to ask. */
    private void proceed(long nowMicros, List<AllowanceAction> actions) {
        refreshSlots();
        while (!waiting.isEmpty() && outstanding == null) {
            KnownSlot slot = chooseSlot(nowMicros);
            if (slot == null) {
                waiting.forEach(ticket -> refuse(ticket, nowMicros, actions));
                waiting.clear();
            } else {
                ask(slot, nowMicros, actions);
            }
        }
        if (waiting.isEmpty()) {
            silentOwners = 0;
        }
    }

    private void ask(KnownSlot slot, long nowMicros, List<AllowanceAction> actions) {
        // Without the request that waits, so that a single request asks for no token in advance.
        double perSecond = (demand - 1) * MICROS_PER_SECOND / DEMAND_MICROS;
        int wanted = (int) (perSecond * allowance.validityMicros() / MICROS_PER_SECOND);
        Integer returned = unused.remove(slot.id);
        TokenRequest request =
                new TokenRequest(slot.id, waiting.size(), wanted, returned == null ? 0 : returned, unreportedRefusals);
        unreportedRefusals = 0;
        outstanding = new OutstandingAsk(slot, request, nowMicros);
        if (view.isSelf(slot.owner)) {
            receive(view.serveSelf(request, nowMicros), nowMicros, actions);
        } else {
            counts.asked++;
            actions.add(new AllowanceAction.Ask(slot.owner, request));
        }
    }

    /** Chooses a slot that may have a token: an own one, else one of the own domain, else any, else the reserve. */
    private KnownSlot chooseSlot(long nowMicros) {
        KnownSlot chosen = null;
        int chosenDistance = Integer.MAX_VALUE;
        int candidates = 0;
        boolean unreachable = silentOwners > 0;
        for (KnownSlot slot : slots) {
            boolean held = slot.askMicros > nowMicros;
            boolean reachable = !(held && slot.disowned) && view.isReachable(slot.owner, nowMicros);
            unreachable |= !reachable;
            if (held || !reachable) {
                continue;
            }
            int distance = view.distance(slot.owner);
            if (distance < chosenDistance) {
                chosenDistance = distance;
                candidates = 0;
            }
            if (distance == chosenDistance && random.nextInt(++candidates) == 0) {
                chosen = slot;
            }
        }
        if (chosen != null && silentOwners < MAX_SILENT_OWNERS) {
            return chosen;
        }
        boolean reserveAvailable = reserve.askMicros <= nowMicros && view.isReachable(reserve.owner, nowMicros);
        return unreachable && reserveAvailable ? reserve : null;
    }

    /** Handles the answer to the outstanding request for tokens. */
    void answered(String owner, TokenAnswer answer, long nowMicros, List<AllowanceAction> actions) {
        if (outstanding == null
                || !outstanding.slot().owner.equals(owner)
                || !outstanding.slot().id.equals(answer.slot())) {
            return;
        }
        if (nowMicros - outstanding.sentMicros() > Allowance.MIN_VALIDITY_MICROS) {
            failed(owner, outstanding.request(), nowMicros, actions);
            return;
        }
        receive(answer, nowMicros, actions);
        proceed(nowMicros, actions);
    }

    private void receive(TokenAnswer answer, long nowMicros, List<AllowanceAction> actions) {
        OutstandingAsk ask = outstanding;
        KnownSlot slot = ask.slot();
        outstanding = null;
        if (!answer.owned()) {
            slot.hold(nowMicros + NOT_OWNED_MICROS, UNKNOWN, true);
            return;
        }
        answeredMicros = nowMicros;
        horizonMicros = Math.max(horizonMicros, nowMicros + answer.horizonMicros());
        if (slot == reserve) {
            counts.reserveTokens += answer.granted();
        }
        if (answer.granted() > 0) {
            lastSlot = slot.id;
        }
        int tokens = answer.granted();
        while (tokens > 0 && !waiting.isEmpty()) {
            grant(waiting.remove(), actions);
            tokens--;
        }
        if (tokens > 0) {
            batches.add(new Batch(slot.id, tokens, ask.sentMicros() + answer.validMicros()));
        }
        if (answer.granted() < ask.request().needed()) {
            long holdMicros = view.isSelf(slot.owner) ? answer.nextMicros() : answer.holdMicros();
            slot.hold(nowMicros + Math.max(1, holdMicros), nowMicros + answer.nextMicros(), false);
        }
    }

    /** Handles the absence of an answer to a request for tokens. */
    void failed(String owner, TokenRequest request, long nowMicros, List<AllowanceAction> actions) {
        if (outstanding == null || outstanding.request() != request) {
            return;
        }
        outstanding = null;
        silentOwners++;
        counts.silent++;
        view.markSilent(owner, nowMicros);
        proceed(nowMicros, actions);
    }

    /** Takes back the token of a request that did not run. */
    void release() {
        counts.released++;
        if (lastSlot != null) {
            unused.merge(lastSlot, 1, Integer::sum);
        }
    }

    /** Gives back tokens that are not used any more. */
    void tick(long nowMicros, List<AllowanceAction> actions) {
        expire(nowMicros);
        unused.forEach((slot, tokens) -> {
            String owner = view.ownerOf(slot);
            TokenRequest request = new TokenRequest(slot, 0, 0, tokens, 0);
            if (view.isSelf(owner)) {
                view.serveSelf(request, nowMicros);
            } else if (view.isReachable(owner, nowMicros)) {
                actions.add(new AllowanceAction.Ask(owner, request));
            }
        });
        unused.clear();
    }

    /** Returns whether nothing of the team is left on this host that matters later. */
    boolean isIdle(long nowMicros) {
        return waiting.isEmpty()
                && outstanding == null
                && batches.isEmpty()
                && unused.isEmpty()
                && nowMicros - demandMicros > MAX_RETRY_MICROS;
    }

    int tokens() {
        return batches.stream().mapToInt(Batch::tokens).sum();
    }

    long answeredMicros() {
        return answeredMicros;
    }

    /** Refuses all requests that wait, since the team has no allowance any more or the host stops. */
    List<Long> drainWaiting() {
        List<Long> tickets = List.copyOf(waiting);
        waiting.clear();
        outstanding = null;
        return tickets;
    }
}
