package org.anvillatch.decision.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class AllowanceAgentTest {
    private static final long SECOND = 1_000_000;
    private static final String TEAM = "team";
    private static final Roster.Host LEFT = new Roster.Host("left", "east", true);
    private static final Roster.Host RIGHT = new Roster.Host("right", "east", true);
    private static final List<Roster.Host> BOTH = List.of(LEFT, RIGHT);

    /** One slot. */
    private static final Allowance SMALL = new Allowance(TEAM, 2, 6);

    private final Map<String, AllowanceAgent> agents = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final List<Long> granted = new ArrayList<>();
    private final List<Long> retryMicros = new ArrayList<>();
    private long now = SECOND;
    private long nextTicket;
    private int messages;

    private AllowanceAgent start(Roster.Host host, Allowance allowance, List<Roster.Host> known) {
        AllowanceAgent agent = new AllowanceAgent(host.name(), host.domain(), new SplittableRandom(1));
        agents.put(host.name(), agent);
        agent.updateAllowances(List.of(allowance), now);
        agent.updateHosts(known, false, now);
        return agent;
    }

    /** Starts both hosts and waits until the buckets are full; returns the name of the owner of the first slot. */
    private String startBoth(Allowance allowance) {
        start(LEFT, allowance, BOTH);
        start(RIGHT, allowance, BOTH);
        pass(0);
        pass(10 * SECOND);
        return agents.get("left").rank(SlotId.slot(TEAM, 0)).first();
    }

    private static String other(String host) {
        return host.equals("left") ? "right" : "left";
    }

    private void pass(long micros) {
        now += micros;
        List.copyOf(agents.keySet())
                .forEach(name -> perform(name, agents.get(name).tick(now)));
    }

    private void perform(String host, List<AllowanceAction> actions) {
        for (AllowanceAction action : actions) {
            if (action instanceof AllowanceAction.Grant grant) {
                granted.add(grant.ticket());
            } else if (action instanceof AllowanceAction.Refuse refuse) {
                retryMicros.add(refuse.retryMicros());
            } else if (action instanceof AllowanceAction.Claim claim && agents.containsKey(claim.witness())) {
                Roster.Ranking ranking = agents.get(claim.witness()).rank(claim.slot());
                agents.get(host).claimAnswered(claim, ranking, now);
            } else if (action instanceof AllowanceAction.Ask ask) {
                messages++;
                if (unreachable.contains(ask.owner())) {
                    now += Allowance.MIN_VALIDITY_MICROS;
                    perform(host, agents.get(host).failed(ask, now));
                } else {
                    TokenAnswer answer = agents.get(ask.owner()).serve(host, ask.request(), now);
                    perform(host, agents.get(host).answered(ask.owner(), answer, now));
                }
            }
        }
    }

    private int request(String host, int count) {
        int before = granted.size();
        for (int index = 0; index < count; index++) {
            perform(host, agents.get(host).acquire(TEAM, nextTicket++, now));
        }
        return granted.size() - before;
    }

    @Test
    void burstOfATeamIsGrantedAtAnyHostAndNoMore() {
        String owner = startBoth(SMALL);
        assertThat(request(other(owner), 4)).isEqualTo(4);
        assertThat(request(owner, 4)).isEqualTo(2);
        // The six tokens occupy the bucket until they have expired.
        pass(SECOND + Allowance.MIN_VALIDITY_MICROS);
        assertThat(request(other(owner), 4)).isEqualTo(2);
    }

    /** Guards against a share that is granted again by the next run of its owner. */
    @Test
    void restartedOwnerStartsWithAnEmptyBucket() {
        String owner = startBoth(SMALL);
        assertThat(request(owner, 9)).isEqualTo(6);
        start(owner.equals("left") ? LEFT : RIGHT, SMALL, BOTH);
        pass(0);
        assertThat(agents.get(owner).unconfirmedSlots()).isEqualTo(0);
        assertThat(request(owner, 9)).isEqualTo(0);
    }

    /** Guards against a host that grants all slots because it has not found the others yet. */
    @Test
    void hostThatKnowsNoOtherHostOwnsNothing() {
        AllowanceAgent agent = start(LEFT, SMALL, List.of(LEFT));
        pass(10 * SECOND);
        assertThat(agent.ownedSlots()).isEqualTo(0);
        assertThat(request("left", 1)).isEqualTo(0);
    }

    /** Guards against two owners of a slot while a host that joins is known to only some others. */
    @Test
    void slotIsNotOwnedWhileTheSecondHostDoesNotKnowTheFirst() {
        String first = startBoth(SMALL);
        start(first.equals("left") ? LEFT : RIGHT, SMALL, BOTH);
        AllowanceAgent second = agents.get(other(first));
        second.updateHosts(List.of(other(first).equals("left") ? LEFT : RIGHT), true, now);
        pass(10 * SECOND);
        assertThat(second.ownedSlots()).isEqualTo(2);
        assertThat(agents.get(first).ownedSlots()).isEqualTo(0);
        second.updateHosts(BOTH, true, now);
        pass(SECOND);
        pass(SECOND);
        assertThat(agents.get(first).ownedSlots() + second.ownedSlots()).isEqualTo(2);
        assertThat(agents.get(first).ownedSlots()).isAtLeast(1);
    }

    /** Guards against tokens that a paused host uses after they count as used elsewhere. */
    @Test
    void tokensExpireDuringAPause() {
        Allowance large = new Allowance(TEAM, 400, 400);
        startBoth(large);
        request("left", 100);
        now += 50_000;
        request("left", 5);
        assertThat(agents.get("left").share(TEAM).tokens()).isGreaterThan(0);
        unreachable.add("right");
        now += 10 * SECOND;
        agents.get("left").updateAllowances(List.of(new Allowance(TEAM, 1, 0)), now);
        granted.clear();
        request("left", 100);
        assertThat(granted.size()).isAtMost(6);
    }

    @Test
    void tokensAreFetchedInBatchesAndNothingIsSentWhileTheTeamIsIdle() {
        startBoth(new Allowance(TEAM, 400, 400));
        messages = 0;
        for (int step = 0; step < 200; step++) {
            request("left", 1);
            pass(10_000);
        }
        assertThat(granted).hasSize(200);
        assertThat(messages).isAtMost(60);
        pass(2 * SECOND);
        messages = 0;
        pass(2 * SECOND);
        assertThat(messages).isEqualTo(0);
    }

    @Test
    void releasedTokenIsGrantedAgain() {
        String owner = startBoth(SMALL);
        assertThat(request(other(owner), 7)).isEqualTo(6);
        agents.get(other(owner)).release(TEAM);
        pass(0);
        assertThat(request(owner, 2)).isEqualTo(1);
    }

    @Test
    void loweredLimitAppliesToTokensInTheBucket() {
        String owner = startBoth(SMALL);
        agents.values().forEach(agent -> agent.updateAllowances(List.of(new Allowance(TEAM, 1, 2)), now));
        assertThat(request(owner, 9)).isEqualTo(2);
    }

    /** Guards against a small team that gets nothing while the only owner of its allowance cannot be reached. */
    @Test
    void reserveServesATeamWhoseOwnerDoesNotAnswer() {
        String owner = startBoth(SMALL);
        String reserveOwner =
                agents.get("left").rank(SlotId.reserve(TEAM, "east")).first();
        unreachable.add(owner);
        assertThat(request(other(owner), 3)).isEqualTo(reserveOwner.equals(owner) ? 0 : 3);
        assertThat(granted.size() + retryMicros.size()).isEqualTo(3);
    }

    /** Guards against callers that are all told to return at the same moment. */
    @Test
    void refusedCallersAreSpreadOverTheTimeInWhichTokensReturn() {
        String owner = startBoth(SMALL);
        request(owner, 6);
        request(owner, 8);
        assertThat(retryMicros).hasSize(8);
        assertThat(new HashSet<>(retryMicros)).hasSize(8);
        long latest = retryMicros.stream().mapToLong(Long::longValue).max().getAsLong();
        assertThat(latest).isGreaterThan(SECOND);
        assertThat(latest).isAtMost(5 * SECOND);
    }

    @Test
    void waitingRequestsOfATeamWithoutAllowanceAreGranted() {
        start(LEFT, SMALL, BOTH);
        AllowanceAgent agent = agents.get("left");
        assertThat(agent.acquire("other", 7, now)).containsExactly(new AllowanceAction.Grant(7));
        assertThat(agent.updateAllowances(List.of(), now)).isEmpty();
        assertThat(agent.acquire(TEAM, 8, now)).containsExactly(new AllowanceAction.Grant(8));
    }
}
