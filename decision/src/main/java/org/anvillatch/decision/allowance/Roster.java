package org.anvillatch.decision.allowance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The hosts among which slots are distributed, and their order for each slot by a rendezvous hash. The order does not
 * depend on which hosts are alive: a host that has crashed cannot be told from one that is partitioned and still grants.
 *
 * <p>Not thread safe, since orders are computed when first needed.
 */
public final class Roster {
    /**
     * A host that has not left.
     *
     * @param name name of the host
     * @param domain failure domain
     * @param present whether the host counts as alive
     */
    public record Host(String name, String domain, boolean present) {}

    /**
     * The first two hosts in the order of a slot.
     *
     * @param first name of the host that owns the slot, or empty if no host is known
     * @param second name of the host that confirms the owner, or empty if there is only one host
     */
    public record Ranking(String first, String second) {}

    private record HashedHost(String name, String domain, long hash) {
        private boolean precedes(HashedHost other, String preferredDomain, long slotHash) {
            if (other == null) {
                return true;
            }
            boolean preferred = domain.equals(preferredDomain);
            if (preferred != other.domain.equals(preferredDomain)) {
                return preferred;
            }
            int weight = MurmurHash3.hash32(slotHash, hash);
            int otherWeight = MurmurHash3.hash32(slotHash, other.hash);
            return weight == otherWeight ? name.compareTo(other.name) < 0 : weight > otherWeight;
        }
    }

    private final List<HashedHost> hosts = new ArrayList<>();
    private final Map<String, String> domainByName = new TreeMap<>();
    private final List<String> domains;
    private final Map<SlotId, Ranking> rankings = new HashMap<>();

    /**
     * Creates a roster.
     *
     * @param hosts all hosts that are known and have not left
     */
    public Roster(List<Host> hosts) {
        for (Host host : hosts) {
            this.hosts.add(new HashedHost(host.name(), host.domain(), hash(host.name())));
            domainByName.put(host.name(), host.domain());
        }
        domains = hosts.stream().map(Host::domain).distinct().sorted().toList();
    }

    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Returns whether this roster has the same hosts and domains.
     *
     * @param others hosts of another view
     * @return false if slots may have other owners in that view
     */
    boolean hasSameHosts(List<Host> others) {
        Map<String, String> otherDomains = new TreeMap<>();
        others.forEach(host -> otherDomains.put(host.name(), host.domain()));
        return domainByName.equals(otherDomains);
    }

    /**
     * Returns the order of the hosts for a slot.
     *
     * @param slot the slot
     * @return its first two hosts
     */
    public Ranking rank(SlotId slot) {
        return rankings.computeIfAbsent(slot, this::computeRanking);
    }

    private Ranking computeRanking(SlotId slot) {
        String preferred = preferredDomain(slot);
        long slotHash = hash(slot.team() + '/' + slot.index() + '/' + slot.domain());
        HashedHost first = null;
        HashedHost second = null;
        for (HashedHost host : hosts) {
            if (host.precedes(first, preferred, slotHash)) {
                second = first;
                first = host;
            } else if (host.precedes(second, preferred, slotHash)) {
                second = host;
            }
        }
        return new Ranking(first == null ? "" : first.name(), second == null ? "" : second.name());
    }

    /** Slots are spread evenly over the failure domains, so that a partitioned domain keeps its part. */
    private String preferredDomain(SlotId slot) {
        if (slot.isReserve() || domains.isEmpty()) {
            return slot.domain();
        }
        long offset = Math.floorMod(hash(slot.team()), (long) domains.size());
        return domains.get((int) ((offset + slot.index()) % domains.size()));
    }

    /**
     * Returns the failure domain of a host.
     *
     * @param name name of the host
     * @return the domain, or empty if the host is not known
     */
    String domainOf(String name) {
        return domainByName.getOrDefault(name, "");
    }

    /**
     * Returns all failure domains.
     *
     * @return names in alphabetical order
     */
    List<String> domains() {
        return domains;
    }

    /**
     * Returns the number of hosts.
     *
     * @return at least 0
     */
    int size() {
        return hosts.size();
    }
}
