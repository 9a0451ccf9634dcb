package org.anvillatch.decision.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses the witnesses of a host by rendezvous hashing: two incarnations of a host with the same view choose the same
 * ones. They are spread over the failure domains, so that a host finds some in its own domain during a partition. Stateless
 * and thread safe.
 */
public final class Witnesses {
    /** Number of hosts of each failure domain that are told of a leaving process. */
    public static final int TOLD_PER_DOMAIN = 3;

    /** Number of hosts of each failure domain that are asked; larger, as the view may have changed in between. */
    public static final int ASKED_PER_DOMAIN = 5;

    /** Maximum number of failure domains with witnesses. */
    private static final int MAX_DOMAINS = 4;

    private Witnesses() {}

    /**
     * Chooses the witnesses of a host.
     *
     * @param host name of the host
     * @param peers other hosts that are present
     * @param perDomain number of witnesses in each failure domain
     * @return the witnesses
     */
    public static List<Member> choose(String host, Collection<Member> peers, int perDomain) {
        List<Member> ordered = new ArrayList<>(peers);
        ordered.sort(Comparator.comparingInt((Member peer) -> weight(host, peer))
                .thenComparing(peer -> peer.host().name()));
        Map<String, Integer> chosenPerDomain = new HashMap<>();
        List<Member> chosen = new ArrayList<>();
        for (Member peer : ordered) {
            int before = chosenPerDomain.getOrDefault(peer.domain(), 0);
            boolean domainAllowed = before > 0 || chosenPerDomain.size() < MAX_DOMAINS;
            if (domainAllowed && before < perDomain) {
                chosenPerDomain.put(peer.domain(), before + 1);
                chosen.add(peer);
            }
        }
        return chosen;
    }

    private static int weight(String host, Member peer) {
        return MurmurHash3.hash32x86((host + "/" + peer.host().name()).getBytes(StandardCharsets.UTF_8));
    }
}
