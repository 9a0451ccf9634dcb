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
 * View of all hosts, maintained by the SWIM protocol: one ping per period, indirect pings, suspicion with refutation,
 * and updates that are piggybacked on pings and their answers (Das, Gupta, Motivala, DSN 2002). The number of messages
 * that a host sends per period does not grow with the number of hosts.
 *
 * <p>Invariants: the host itself is always alive in its own view until it leaves; the state of a host is only replaced
 * as defined by {@link Member#supersedes}. Not thread safe: owned by the host's decision loop.
 */
public final class Membership {
    /** Time between two pings, in microseconds. */
    public static final long PROTOCOL_PERIOD_MICROS = 500_000;

    /** Time after which an unanswered ping is followed by indirect pings, in microseconds. */
    public static final long PING_TIMEOUT_MICROS = 200_000;

    /** Time that a suspected host has to refute the suspicion, in microseconds. */
    public static final long SUSPICION_TIMEOUT_MICROS = 2_000_000;

    /** Minimum time between two synchronizations of views while other hosts are present, in microseconds. */
    public static final long MIN_SYNC_INTERVAL_MICROS = 5_000_000;

    /** Time added between two synchronizations for each known host, in microseconds; their cost grows with the view. */
    public static final long SYNC_INTERVAL_MICROS_PER_HOST = 1_000;

    /** Time after which a host that is dead or has left is removed from the view, in microseconds. */
    public static final long DEAD_RETENTION_MICROS = 600_000_000;

    /** Time for which a dead host is still pinged, in microseconds; longer than a typical network partition. */
    public static final long DEAD_PROBE_MICROS = 120_000_000;

    private static final int UPDATES_PER_MESSAGE = 8;
    private static final int INDIRECT_PING_HELPERS = 2;
    private static final int RETRANSMIT_FACTOR = 3;

    private final List<String> seeds;
    private final Map<String, Member> members = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> pendingUpdates = new LinkedHashMap<>();
    private final Map<String, Long> statusChangedMicros = new HashMap<>();
    private final String self;
    private String pingedName = "";
    private long pingSentMicros;
    private boolean indirectSent;
    private long nextPeriodMicros;
    private long nextSyncMicros;
    private long version;

    /**
     * Creates a view that contains only this host.
     *
     * @param self this host
     * @param seeds addresses of hosts through which to join
     */
    public Membership(Member self, List<String> seeds) {
        this.self = self.host().name();
        this.seeds = new ArrayList<>(seeds);
        members.put(this.self, self);
        names.add(this.self);
        pendingUpdates.put(this.self, 0);
    }

    /**
     * Performs the periodic work of the protocol.
     *
     * @param nowMicros current time in microseconds
     * @param random source of randomness
     * @return messages to send
     */
    public List<MembershipAction> tick(long nowMicros, RandomGenerator random) {
        List<MembershipAction> actions = new ArrayList<>();
        checkOutstandingPing(nowMicros, random, actions);
        expireStatuses(nowMicros);
        if (nowMicros >= nextPeriodMicros) {
            nextPeriodMicros = nowMicros + PROTOCOL_PERIOD_MICROS;
            pingNext(nowMicros, random, actions);
            pingDeadHost(nowMicros, random, actions);
        }
        if (nowMicros >= nextSyncMicros) {
            long intervalMicros = MIN_SYNC_INTERVAL_MICROS + members.size() * SYNC_INTERVAL_MICROS_PER_HOST;
            nextSyncMicros = nowMicros + (isAlone() ? PROTOCOL_PERIOD_MICROS : intervalMicros);
            synchronizeWithRandomHost(random, actions);
        }
        return actions;
    }

    private void checkOutstandingPing(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        Member target = members.get(pingedName);
        if (target == null || indirectSent || nowMicros - pingSentMicros < PING_TIMEOUT_MICROS) {
            return;
        }
        indirectSent = true;
        for (int index = 0; index < INDIRECT_PING_HELPERS; index++) {
            Member helper = randomPresentPeer(random);
            if (helper != null && !helper.host().name().equals(pingedName)) {
                actions.add(new MembershipAction.IndirectPing(helper.address(), pingedName, target.address()));
            }
        }
    }

    private void expireStatuses(long nowMicros) {
        for (String name : List.copyOf(statusChangedMicros.keySet())) {
            Member member = members.get(name);
            long age = nowMicros - statusChangedMicros.get(name);
            if (member.status() == MemberStatus.SUSPECT && age > SUSPICION_TIMEOUT_MICROS) {
                mergeUpdate(member.withStatus(MemberStatus.DEAD), nowMicros);
            } else if (!member.status().isPresent() && age > DEAD_RETENTION_MICROS) {
                remove(name);
            }
        }
    }

    private void remove(String name) {
        members.remove(name);
        names.remove(name);
        statusChangedMicros.remove(name);
        pendingUpdates.remove(name);
        version++;
    }

    private void pingNext(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        if (!pingedName.isEmpty() && members.containsKey(pingedName)) {
            suspect(pingedName, nowMicros);
        }
        Member target = randomPresentPeer(random);
        indirectSent = false;
        pingSentMicros = nowMicros;
        pingedName = target == null ? "" : target.host().name();
        if (target != null) {
            actions.add(new MembershipAction.Ping(target.address(), pingedName));
        }
    }

    private void suspect(String name, long nowMicros) {
        Member member = members.get(name);
        if (member.status() == MemberStatus.ALIVE) {
            mergeUpdate(member.withStatus(MemberStatus.SUSPECT), nowMicros);
        }
    }

    private void synchronizeWithRandomHost(RandomGenerator random, List<MembershipAction> actions) {
        Member member = randomPresentPeer(random);
        if (member != null) {
            actions.add(new MembershipAction.Synchronize(member.address()));
        }
        // A seed is contacted even if hosts are known: after a partition, each side may consider the other side dead.
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
     * Adds seeds, addresses through which other hosts are found.
     *
     * @param addresses peer addresses; a host need not be reachable at each of them
     */
    public void addSeeds(Collection<String> addresses) {
        for (String address : addresses) {
            if (!seeds.contains(address)) {
                seeds.add(address);
                nextSyncMicros = 0;
            }
        }
    }

    /**
     * Returns whether this host knows an address at which another host may be found.
     *
     * @return false if no seed was given or found yet
     */
    public boolean hasSeeds() {
        return !seeds.isEmpty();
    }

    /** Pings one dead host: after a partition, two hosts that consider each other dead would not make contact again. */
    private void pingDeadHost(long nowMicros, RandomGenerator random, List<MembershipAction> actions) {
        List<Member> dead = new ArrayList<>();
        for (Map.Entry<String, Long> entry : statusChangedMicros.entrySet()) {
            Member member = members.get(entry.getKey());
            if (member.status() == MemberStatus.DEAD && nowMicros - entry.getValue() < DEAD_PROBE_MICROS) {
                dead.add(member);
            }
        }
        if (!dead.isEmpty()) {
            Member chosen = dead.get(random.nextInt(dead.size()));
            actions.add(
                    new MembershipAction.Ping(chosen.address(), chosen.host().name()));
        }
    }

    private Member randomPresentPeer(RandomGenerator random) {
        for (int attempt = 0; attempt < names.size() + INDIRECT_PING_HELPERS; attempt++) {
            String name = names.get(random.nextInt(names.size()));
            Member member = members.get(name);
            if (!name.equals(self) && member.status().isPresent()) {
                return member;
            }
        }
        return null;
    }

    /**
     * Records the answer to a direct or indirect ping.
     *
     * @param name name of the host that was pinged
     */
    public void answered(String name) {
        if (name.equals(pingedName)) {
            pingedName = "";
        }
    }

    /**
     * Merges updates from another host into this view.
     *
     * @param received states of hosts in the other host's view
     * @param nowMicros current time in microseconds
     */
    public void mergeUpdates(Collection<Member> received, long nowMicros) {
        received.forEach(member -> mergeUpdate(member, nowMicros));
    }

    private void mergeUpdate(Member received, long nowMicros) {
        String name = received.host().name();
        Member current = members.get(name);
        if (name.equals(self)) {
            refuteIfWrong(received, current);
            return;
        }
        if (current != null && !received.supersedes(current)) {
            return;
        }
        if (current == null) {
            if (!received.status().isPresent()) {
                return;
            }
            names.add(name);
        }
        members.put(name, received);
        pendingUpdates.put(name, 0);
        version++;
        if (received.status() == MemberStatus.ALIVE) {
            statusChangedMicros.remove(name);
        } else {
            statusChangedMicros.put(name, nowMicros);
        }
    }

    private void refuteIfWrong(Member received, Member current) {
        if (received.host().incarnation() > current.host().incarnation()) {
            // The wall clock was set back between two incarnations of this host: others consider the earlier one newer.
            HostIdentity next = new HostIdentity(self, received.host().incarnation() + 1);
            members.put(self, current.withIdentity(next));
            pendingUpdates.put(self, 0);
            version++;
            return;
        }
        boolean sameIncarnation =
                received.host().incarnation() == current.host().incarnation();
        if (sameIncarnation && current.status() == MemberStatus.ALIVE && received.supersedes(current)) {
            members.put(self, current.refuting(received.update()));
            pendingUpdates.put(self, 0);
        }
    }

    /**
     * Changes the endpoint state that this host advertises.
     *
     * @param service service of the endpoint, or empty
     * @param slots slots of the endpoint
     * @param phase phase of the endpoint
     * @param serviceTimeMicros service time of the endpoint in microseconds, or 0 while not known
     */
    public void advertiseEndpoint(String service, int slots, EndpointPhase phase, long serviceTimeMicros) {
        members.put(self, members.get(self).withEndpoint(service, slots, phase, serviceTimeMicros));
        pendingUpdates.put(self, 0);
        version++;
    }

    /** Advertises that this host leaves. */
    public void leave() {
        Member member = members.get(self);
        members.put(self, member.withEndpoint("", 0, EndpointPhase.LEAVING, 0).withStatus(MemberStatus.LEFT));
        pendingUpdates.put(self, 0);
        version++;
    }

    /**
     * Returns the updates to piggyback on the next message. Each update is sent about 3 * log2(number of hosts) times.
     *
     * @return at most eight members, those that were sent least often first
     */
    public List<Member> updatesToSend() {
        int maxTransmissions = RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size()));
        List<Map.Entry<String, Integer>> chosen = pendingUpdates.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .limit(UPDATES_PER_MESSAGE)
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        List<Member> updates = new ArrayList<>();
        for (Map.Entry<String, Integer> entry : chosen) {
            updates.add(members.get(entry.getKey()));
            if (entry.getValue() + 1 >= maxTransmissions) {
                pendingUpdates.remove(entry.getKey());
            } else {
                pendingUpdates.put(entry.getKey(), entry.getValue() + 1);
            }
        }
        return updates;
    }

    /**
     * Returns all hosts in the view.
     *
     * @return all hosts, including dead ones
     */
    public List<Member> all() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the other hosts that count as present.
     *
     * @return a new list, which the caller may modify
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
     * Returns whether this host has the smallest name of all present hosts; tasks that one host suffices for are done by
     * it. During a partition there is one such host on each side.
     *
     * @return true if no other present host has a smaller name
     */
    public boolean isFirstPresent() {
        return members.values().stream()
                .noneMatch(member ->
                        member.status().isPresent() && member.host().name().compareTo(self) < 0);
    }

    /**
     * Returns whether this host has the smallest name of all present hosts of its failure domain; tasks that one host of
     * each domain suffices for are done by it.
     *
     * @return true if no other present host of the domain has a smaller name
     */
    public boolean isFirstPresentInDomain() {
        String domain = members.get(self).domain();
        return members.values().stream()
                .noneMatch(member -> member.status().isPresent()
                        && member.domain().equals(domain)
                        && member.host().name().compareTo(self) < 0);
    }

    /**
     * Returns the number of hosts in the view.
     *
     * @return at least 1, including dead hosts
     */
    public int size() {
        return members.size();
    }

    /**
     * Finds a host by its name.
     *
     * @param name name of the host
     * @return state of the host, or null if it is not in the view
     */
    public Member find(String name) {
        return members.get(name);
    }

    /**
     * Returns this host's own state.
     *
     * @return never null
     */
    public Member self() {
        return members.get(self);
    }

    /**
     * Returns the version of the view, a number that changes whenever the view changes.
     *
     * @return version of the view on this host
     */
    public long version() {
        return version;
    }
}
