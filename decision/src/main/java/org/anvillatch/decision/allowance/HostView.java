package org.anvillatch.decision.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What this host knows of the hosts that own slots. Not thread safe: owned by the host's decision loop.
 */
final class HostView {
    /** Time for which a host that did not answer is not asked, in microseconds; gossip takes 2 to 4 s to declare it dead. */
    private static final long SILENCE_MICROS = 1_000_000;

    private final String self;
    private final String domain;
    private final OwnedSlots owned;
    private final Map<String, Long> silentUntilMicros = new HashMap<>();
    private final Set<String> absent = new HashSet<>();
    private Roster roster = new Roster(List.of());

    HostView(String self, String domain, OwnedSlots owned) {
        this.self = self;
        this.domain = domain;
        this.owned = owned;
    }

    /** Applies another view; returns whether slots may have other owners. */
    boolean update(List<Roster.Host> hosts) {
        absent.clear();
        for (Roster.Host host : hosts) {
            if (!host.present()) {
                absent.add(host.name());
            }
        }
        if (roster.hasSameHosts(hosts)) {
            return false;
        }
        roster = new Roster(hosts);
        silentUntilMicros.keySet().removeIf(name -> roster.domainOf(name).isEmpty());
        return true;
    }

    Roster roster() {
        return roster;
    }

    String domain() {
        return domain;
    }

    String ownerOf(SlotId slot) {
        return roster.rank(slot).first();
    }

    boolean isSelf(String host) {
        return host.equals(self);
    }

    boolean isReachable(String host, long nowMicros) {
        return !host.isEmpty() && !absent.contains(host) && silentUntilMicros.getOrDefault(host, 0L) <= nowMicros;
    }

    void markSilent(String host, long nowMicros) {
        silentUntilMicros.put(host, nowMicros + SILENCE_MICROS);
    }

    /** Returns how far a host is: 0 for this one, 1 for the same failure domain, 2 for another. */
    int distance(String host) {
        if (host.equals(self)) {
            return 0;
        }
        return roster.domainOf(host).equals(domain) ? 1 : 2;
    }

    TokenAnswer serveSelf(TokenRequest request, long nowMicros) {
        return owned.serve(self, request, nowMicros);
    }
}
