package org.anvillatch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.HostIdentity;

/**
 * View of all hosts, kept by the SWIM protocol: one ping a period, indirect pings, suspicion with refutation, and
 * updates carried on pings and answers (Das, Gupta, Motivala, DSN 2002). What a host sends in a period does not grow
 * with the number of hosts.
 *
 * <p>Invariants: the host itself is always alive in its own view until it leaves; knowledge of a host only moves
 * forward as defined by {@link Member#supersedes}. Not thread safe: owned by the host's decision loop.
 */
public final class Membership {
    /** Time between two pings, in microseconds. */
    public static final long PERIOD_MICROS = 500_000;

    /** Time a ping may take before other hosts are asked, in microseconds. */
    public static final long PING_TIMEOUT_MICROS = 200_000;

    /** Time a suspected host has to refute, in microseconds. */
    public static final long SUSPICION_MICROS = 2_000_000;

    /** Least time between two comparisons of views, in microseconds. */
    public static final long SYNCHRONIZE_MICROS = 5_000_000;

    /** Time added between two comparisons for each known host, in microseconds, since a comparison costs as much more. */
    public static final long SYNCHRONIZE_MICROS_PER_HOST = 1_000;

    /** Time after which a dead host is forgotten, in microseconds. */
    public static final long FORGET_MICROS = 600_000_000;

    /** Time for which a dead host is still asked whether it is back, in microseconds; longer than a cut usually lasts. */
    public static final long RETRY_DEAD_MICROS = 120_000_000;

    private static final int UPDATES_PER_MESSAGE = 8;
    private static final int INDIRECT_HELPERS = 2;
    private static final int RETRANSMIT_FACTOR = 3;

    private final List<String> seeds;
    private final Map<String, Member> members = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> pendingUpdates = new LinkedHashMap<>();
    private final Map<String, Long> changedMicros = new HashMap<>();
    private final String self;
    private String pinged = "";
    private long pingSentMicros;
    private boolean indirectSent;
    private long nextPeriodMicros;
    private long nextSynchronizeMicros;
    private long version;

    /**
     * Creates a view that knows only this host.
     *
     * @param self this host
     * @param seeds addresses to join through
     */
    public Membership(Member self, List<String> seeds) {
        this.self = self.host().name();
        this.seeds = new ArrayList<>(seeds);
        members.put(this.self, self);
        names.add(this.self);
        pendingUpdates.put(this.self, 0);
    }

    /**
     * Advances time.
     *
     * @param nowMicros current time
     * @param random source of randomness
     * @return messages to send
     */
    public List<MembershipAction> tick(long nowMicros, RandomGenerator random) {
        List<MembershipAction> actions = new ArrayList<>();
        checkOutstandingPing(nowMicros, random, actions);
        expireSuspicions(nowMicros);
        if (nowMicros >= nextPeriodMicros) {
            nextPeriodMicros = nowMicros + PERIOD_MICROS;
            pingNext(nowMicros, random, actions);
            pingOneDead(nowMicros, random, actions);
        }
        if (nowMicros >= nextSynchronizeMicros) {
            long usual = SYNCHRONIZE_MICROS + members.size() * SYNCHRONIZE_MICROS_PER_HOST;
            nextSynchronizeMicros = nowMicros + (isAlone() ? PERIOD_MICROS : usual);
            synchronizeWithAny(random, actions);
        }
        return actions;
    }

    private void checkOutstandingPing(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        Member target = members.get(pinged);
        if (target == null || indirectSent || nowMicros - pingSentMicros < PING_TIMEOUT_MICROS) {
            return;
        }
        indirectSent = true;
        for (int index = 0; index < INDIRECT_HELPERS; index++) {
            Member helper = randomPresent(random);
            if (helper != null && !helper.host().name().equals(pinged)) {
                actions.add(new MembershipAction.IndirectPing(helper.address(), pinged, target.address()));
            }
        }
    }

    private void expireSuspicions(long nowMicros) {
        for (String name : List.copyOf(changedMicros.keySet())) {
            Member member = members.get(name);
            long age = nowMicros - changedMicros.get(name);
            if (member.status() == MemberStatus.SUSPECT && age > SUSPICION_MICROS) {
                mergeUpdates(member.withStatus(MemberStatus.DEAD), nowMicros);
            } else if (!member.status().isPresent() && age > FORGET_MICROS) {
                forget(name);
            }
        }
    }

    private void forget(String name) {
        members.remove(name);
        names.remove(name);
        changedMicros.remove(name);
        pendingUpdates.remove(name);
        version++;
    }

    private void pingNext(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        if (!pinged.isEmpty() && members.containsKey(pinged)) {
            suspect(pinged, nowMicros);
        }
        Member target = randomPresent(random);
        indirectSent = false;
        pingSentMicros = nowMicros;
        pinged = target == null ? "" : target.host().name();
        if (target != null) {
            actions.add(new MembershipAction.Ping(target.address(), pinged));
        }
    }

    private void suspect(String name, long nowMicros) {
        Member member = members.get(name);
        if (member.status() == MemberStatus.ALIVE) {
            mergeUpdates(member.withStatus(MemberStatus.SUSPECT), nowMicros);
        }
    }

    private void synchronizeWithAny(RandomGenerator random, List<MembershipAction> actions) {
        Member member = randomPresent(random);
        if (member != null) {
            actions.add(new MembershipAction.Synchronize(member.address()));
        }
        // A seed is asked even when hosts are known: after a cut both sides may believe the other side dead.
        if (!seeds.isEmpty()) {
            String seed = seeds.get(random.nextInt(seeds.size()));
            if (!seed.equals(members.get(self).address())) {
                actions.add(new MembershipAction.Synchronize(seed));
            }
        }
    }

    private boolean isAlone() {
        return presentPeers().isEmpty();
    }

    /**
     * Adds addresses to ask for other hosts.
     *
     * @param addresses peer addresses, which need not be alive
     */
    public void addSeeds(Collection<String> addresses) {
        for (String address : addresses) {
            if (!seeds.contains(address)) {
                seeds.add(address);
                nextSynchronizeMicros = 0;
            }
        }
    }

    /** A host that was taken for dead may only have been cut off, and then neither side would ask the other. */
    private void pingOneDead(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        List<Member> dead = new ArrayList<>();
        for (Map.Entry<String, Long> entry : changedMicros.entrySet()) {
            Member member = members.get(entry.getKey());
            if (member.status() == MemberStatus.DEAD && nowMicros - entry.getValue() < RETRY_DEAD_MICROS) {
                dead.add(member);
            }
        }
        if (!dead.isEmpty()) {
            Member chosen = dead.get(random.nextInt(dead.size()));
            actions.add(
                    new MembershipAction.Ping(chosen.address(), chosen.host().name()));
        }
    }

    private Member randomPresent(RandomGenerator random) {
        for (int tries = 0; tries < names.size() + INDIRECT_HELPERS; tries++) {
            String name = names.get(random.nextInt(names.size()));
            Member member = members.get(name);
            if (!name.equals(self) && member.status().isPresent()) {
                return member;
            }
        }
        return null;
    }

    /**
     * Takes an answer to a ping, direct or through a helper.
     *
     * @param name name of the host that is alive
     */
    public void answered(String name) {
        if (name.equals(pinged)) {
            pinged = "";
        }
    }

    /**
     * Takes knowledge from another host.
     *
     * @param heard what the other host knows
     * @param nowMicros current time
     */
    public void mergeUpdates(Collection<Member> heard, long nowMicros) {
        heard.forEach(member -> mergeUpdates(member, nowMicros));
    }

    private void mergeUpdates(Member heard, long nowMicros) {
        String name = heard.host().name();
        Member known = members.get(name);
        if (name.equals(self)) {
            refuteIfWrong(heard, known);
            return;
        }
        if (known != null && !heard.supersedes(known)) {
            return;
        }
        if (known == null) {
            if (!heard.status().isPresent()) {
                return;
            }
            names.add(name);
        }
        members.put(name, heard);
        pendingUpdates.put(name, 0);
        version++;
        if (heard.status() == MemberStatus.ALIVE) {
            changedMicros.remove(name);
        } else {
            changedMicros.put(name, nowMicros);
        }
    }

    private void refuteIfWrong(Member heard, Member known) {
        if (heard.host().incarnation() > known.host().incarnation()) {
            // The wall clock went back between two lives of this host; others hold the earlier life to be the newer.
            HostIdentity next = new HostIdentity(self, heard.host().incarnation() + 1);
            members.put(self, known.withIdentity(next));
            pendingUpdates.put(self, 0);
            version++;
            return;
        }
        boolean sameLife = heard.host().incarnation() == known.host().incarnation();
        if (sameLife && known.status() == MemberStatus.ALIVE && heard.supersedes(known)) {
            members.put(self, known.refuting(heard.update()));
            pendingUpdates.put(self, 0);
        }
    }

    /**
     * Changes what this host says of its endpoint.
     *
     * @param service service of the endpoint, or empty
     * @param slots slots of the endpoint
     * @param phase phase of the endpoint
     * @param serviceTimeMicros usual time of an execution, in microseconds, or 0 while not known
     */
    public void advertiseEndpoint(String service, int slots, EndpointPhase phase, long serviceTimeMicros) {
        members.put(self, members.get(self).withEndpoint(service, slots, phase, serviceTimeMicros));
        pendingUpdates.put(self, 0);
        version++;
    }

    /** Says that this host leaves. */
    public void leave() {
        Member member = members.get(self);
        members.put(self, member.withEndpoint("", 0, EndpointPhase.LEAVING, 0).withStatus(MemberStatus.LEFT));
        pendingUpdates.put(self, 0);
        version++;
    }

    /**
     * Returns the updates to carry on the next message; each is sent about three times the logarithm of the hosts.
     *
     * @return at most eight members, least often sent first
     */
    public List<Member> updatesToSend() {
        int most = RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size()));
        List<Map.Entry<String, Integer>> chosen = pendingUpdates.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .limit(UPDATES_PER_MESSAGE)
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        List<Member> updates = new ArrayList<>();
        for (Map.Entry<String, Integer> entry : chosen) {
            updates.add(members.get(entry.getKey()));
            if (entry.getValue() + 1 >= most) {
                pendingUpdates.remove(entry.getKey());
            } else {
                pendingUpdates.put(entry.getKey(), entry.getValue() + 1);
            }
        }
        return updates;
    }

    /**
     * Returns everything that is known.
     *
     * @return all hosts, dead ones included
     */
    public List<Member> all() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the other hosts that are believed present.
     *
     * @return a new list, which the caller may change
     */
    public List<Member> presentPeers() {
        List<Member> others = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.status().isPresent() && !member.host().name().equals(self)) {
                others.add(member);
            }
        }
        return others;
    }

    /**
     * Returns how many hosts are known.
     *
     * @return at least 1, dead ones included
     */
    public int size() {
        return members.size();
    }

    /**
     * Returns one host.
     *
     * @param name name of the host
     * @return what is known, or null
     */
    public Member find(String name) {
        return members.get(name);
    }

    /**
     * Returns this host's own entry.
     *
     * @return never null
     */
    public Member self() {
        return members.get(self);
    }

    /**
     * Returns a number that changes with every change of the view.
     *
     * @return version of the view on this host
     */
    public long version() {
        return version;
    }
}
