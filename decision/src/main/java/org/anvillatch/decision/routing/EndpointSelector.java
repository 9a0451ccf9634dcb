package org.anvillatch.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.RefusalReason;

/**
 * Chooses the host for a call: one of this failure domain while it has room, else the cheapest of a few random candidates
 * whose shed level admits the rank (after Prequal, NSDI 2024).
 *
 * <p>Invariant: a host that is leaving, drained, dead or excluded is never chosen. Not thread safe: owned by the host's
 * decision loop.
 */
public final class EndpointSelector {
    /** Number of random candidates that are compared. */
    public static final int CANDIDATES = 3;

    /** Factor on the cost of an endpoint in another failure domain. */
    public static final double OTHER_DOMAIN_COST = 1.5;

    /**
     * How many times longer than at an endpoint with room elsewhere an execution may usually take in this failure domain: the
     * users' aims are two and a half times the unloaded time of a tree, and told times scatter by a quarter.
     */
    public static final double SLOWER_IN_DOMAIN = 3;

    /** Part of its slots up to which an endpoint of this failure domain is preferred to any other domain's. */
    public static final double OWN_DOMAIN_UTILIZATION = 0.75;

    private final Membership membership;
    private final Map<HostIdentity, EndpointLoad> loads = new HashMap<>();
    private final Map<String, List<Member>> byService = new HashMap<>();
    private long indexedVersion = -1;

    /**
     * A call for which an endpoint is wanted.
     *
     * @param operation the operation
     * @param rank order of refusal
     * @param excluded names of hosts that were already tried
     * @param drained names of hosts and failure domains that operators have drained
     */
    public record Request(OperationName operation, int rank, Set<String> excluded, Set<String> drained) {}

    /**
     * Creates a selector.
     *
     * @param membership the view of all hosts
     */
    public EndpointSelector(Membership membership) {
        this.membership = membership;
    }

    /**
     * Chooses a host.
     *
     * @param request the call
     * @param nowMicros current time
     * @param random source of randomness
     * @return the host, or why there is none
     */
    public RouteChoice choose(Request request, long nowMicros, RandomGenerator random) {
        List<Member> usable = usable(request, nowMicros);
        if (usable.isEmpty()) {
            return new RouteChoice(null, RefusalReason.NO_ENDPOINT, 0);
        }
        List<Member> roomy = withRoom(usable, nowMicros);
        Member best = cheapest(inDomain(roomy), request, nowMicros);
        if (best == null && isSlowInDomain(usable, roomy, nowMicros)) {
            best = cheapest(sample(roomy, random), request, nowMicros);
        }
        if (best == null) {
            best = cheapest(sample(usable, random), request, nowMicros);
        }
        if (best == null) {
            best = cheapest(usable, request, nowMicros);
        }
        int level = lowestLevel(usable, request.operation(), nowMicros);
        return best == null ? new RouteChoice(null, RefusalReason.OVERLOAD, level) : new RouteChoice(best, null, level);
    }

    private List<Member> usable(Request request, long nowMicros) {
        List<Member> healthy = new ArrayList<>();
        List<Member> failing = new ArrayList<>();
        List<Member> doubtful = new ArrayList<>();
        boolean room = false;
        for (Member member : endpointsOf(request.operation().service())) {
            if (!isAllowed(member, request)) {
                continue;
            }
            boolean doubted =
                    member.status() != MemberStatus.ALIVE || load(member).isEjected(nowMicros);
            if (doubted) {
                doubtful.add(member);
            } else if (member.phase() == EndpointPhase.FAILING) {
                failing.add(member);
            } else {
                healthy.add(member);
                room |= load(member).utilization(member.slots(), nowMicros) <= 1;
            }
        }
        if (!room) {
            // Part of what a failing endpoint gets is lost, but all of what the full ones refuse is.
            healthy.addAll(failing);
        }
        return healthy.isEmpty() ? doubtful : healthy;
    }

    private boolean isAllowed(Member member, Request request) {
        String name = member.host().name();
        return !request.excluded().contains(name)
                && !request.drained().contains(name)
                && !request.drained().contains(member.domain());
    }

    private List<Member> endpointsOf(String service) {
        if (membership.version() != indexedVersion) {
            indexedVersion = membership.version();
            byService.clear();
            for (Member member : membership.all()) {
                if (member.status().isPresent() && member.phase().takesNewWork()) {
                    byService
                            .computeIfAbsent(member.service(), name -> new ArrayList<>())
                            .add(member);
                }
            }
            loads.keySet().removeIf(host -> membership.find(host.name()) == null);
        }
        return byService.getOrDefault(service, List.of());
    }

    /** Endpoints that are far from full and not much slower than others of that kind. */
    private List<Member> withRoom(List<Member> usable, long nowMicros) {
        List<Member> found = new ArrayList<>();
        long fastest = Long.MAX_VALUE;
        for (Member member : usable) {
            if (hasRoom(member, nowMicros)) {
                found.add(member);
                fastest = member.serviceTimeMicros() > 0 ? Math.min(fastest, member.serviceTimeMicros()) : fastest;
            }
        }
        double slowest = fastest * SLOWER_IN_DOMAIN;
        found.removeIf(member -> member.serviceTimeMicros() > slowest);
        return found;
    }

    private boolean hasRoom(Member member, long nowMicros) {
        return load(member).utilization(member.slots(), nowMicros) < OWN_DOMAIN_UTILIZATION;
    }

    /** Nothing is gained by crossing to another domain while such an endpoint is in this one. */
    private List<Member> inDomain(List<Member> members) {
        return members.stream().filter(this::isInDomain).toList();
    }

    private boolean isInDomain(Member member) {
        return member.domain().equals(membership.self().domain());
    }

    /** Tells whether this domain's endpoints have room, but only slow ones. */
    private boolean isSlowInDomain(List<Member> usable, List<Member> roomy, long nowMicros) {
        return !roomy.isEmpty() && usable.stream().anyMatch(member -> isInDomain(member) && hasRoom(member, nowMicros));
    }

    private List<Member> sample(List<Member> usable, RandomGenerator random) {
        if (usable.size() <= CANDIDATES) {
            return usable;
        }
        List<Member> sample = new ArrayList<>();
        for (int index = 0; index < CANDIDATES; index++) {
            sample.add(usable.get(random.nextInt(usable.size())));
        }
        return sample;
    }

    private Member cheapest(List<Member> candidates, Request request, long nowMicros) {
        Member best = null;
        double bestCost = Double.MAX_VALUE;
        for (Member member : candidates) {
            EndpointLoad load = load(member);
            if (load.level(request.operation(), nowMicros) > request.rank()) {
                continue;
            }
            double cost = load.cost(member.slots(), member.serviceTimeMicros(), nowMicros) * domainFactor(member);
            if (cost < bestCost) {
                bestCost = cost;
                best = member;
            }
        }
        return best;
    }

    private double domainFactor(Member member) {
        return isInDomain(member) ? 1 : OTHER_DOMAIN_COST;
    }

    private int lowestLevel(List<Member> usable, OperationName operation, long nowMicros) {
        int lowest = Integer.MAX_VALUE;
        for (Member member : usable) {
            lowest = Math.min(lowest, load(member).level(operation, nowMicros));
        }
        return lowest;
    }

    private EndpointLoad load(Member member) {
        return loads.computeIfAbsent(member.host(), host -> new EndpointLoad());
    }

    /**
     * Notes that a call was sent.
     *
     * @param host the chosen host
     */
    public void sent(Member host) {
        load(host).sent();
    }

    /**
     * Notes an answer, whatever its outcome.
     *
     * @param host the host that answered
     * @param report load reported on the answer
     * @param nowMicros current time
     */
    public void answered(Member host, LoadFeedback report, long nowMicros) {
        load(host).answered(report, nowMicros);
    }

    /**
     * Notes that a host takes no new work, before gossip tells.
     *
     * @param host the host that said so
     * @param nowMicros current time
     */
    public void leaving(Member host, long nowMicros) {
        load(host).leaving(nowMicros);
    }

    /**
     * Notes a call without an answer.
     *
     * @param host the host that did not answer
     * @param nowMicros current time
     */
    public void failed(Member host, long nowMicros) {
        load(host).failed(nowMicros);
    }
}
