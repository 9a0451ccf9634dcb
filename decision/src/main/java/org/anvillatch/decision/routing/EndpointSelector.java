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
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.RefusalReason;

/**
 * Chooses the host for a call: a host in this failure domain while one has spare capacity, else the host of lowest cost
 * among a few random candidates whose shed level admits the rank (after Prequal, NSDI 2024).
 *
 * <p>Invariant: a host is never chosen if the request excludes it, if it is drained, or if it is dead, has left or
 * accepts no new work according to the membership view. Not thread safe: owned by the host's decision loop.
 */
public final class EndpointSelector {
    /** Number of random candidates that are compared. */
    public static final int SAMPLE_SIZE = 3;

    /** Cost factor of an endpoint in another failure domain. */
    public static final double CROSS_DOMAIN_COST_FACTOR = 1.5;

    /**
     * Maximum service time with which an endpoint is chosen for its spare capacity or its failure domain, as a multiple
     * of the lowest service time of any endpoint with spare capacity. The users' latency targets are 2.5 times the
     * unloaded latency of a call tree, and advertised service times vary by a quarter.
     */
    public static final double MAX_LOCAL_SLOWDOWN = 3;

    /** Utilization below which an endpoint has spare capacity and is preferred if it is in this failure domain. */
    public static final double MAX_LOCAL_UTILIZATION = 0.75;

    private final Membership membership;
    private final Map<HostIdentity, EndpointLoad> loads = new HashMap<>();

    /** Restrictions of endpoints by host name, since an endpoint may outlast an incarnation of its host. */
    private final Map<String, EndpointNotice> notices = new HashMap<>();

    private final Map<String, List<Member>> byService = new HashMap<>();
    private long indexedVersion = -1;

    /**
     * A call for which an endpoint is to be chosen.
     *
     * @param operation the operation
     * @param rank order of refusal; the highest rank is refused last
     * @param excluded names of hosts to which the call was already sent
     * @param drained names of hosts and failure domains that operators have drained
     */
    public record Request(OperationName operation, int rank, Set<String> excluded, Set<String> drained) {}

    /**
     * Creates a selector.
     *
     * @param membership this host's view of all hosts
     */
    public EndpointSelector(Membership membership) {
        this.membership = membership;
    }

    /**
     * Chooses a host.
     *
     * @param request the call
     * @param nowMicros current time in microseconds
     * @param random source of randomness
     * @return the chosen host, or the reason why there is none
     */
    public RouteChoice choose(Request request, long nowMicros, RandomGenerator random) {
        List<Member> usable = usable(request, nowMicros);
        if (usable.isEmpty()) {
            return new RouteChoice(null, RefusalReason.NO_ENDPOINT, 0);
        }
        ServiceTimes times = ServiceTimes.of(usable, request.operation(), this::load, nowMicros);
        List<Member> available = withSpareCapacity(usable, times, nowMicros);
        Member best = cheapest(localCandidates(available, times, random), times, request, nowMicros);
        if (best == null && hasUnsuitableEndpointsInOwnDomain(usable, available, nowMicros)) {
            best = cheapest(sample(available, random), times, request, nowMicros);
        }
        if (best == null) {
            best = cheapest(sample(usable, random), times, request, nowMicros);
        }
        if (best == null) {
            best = cheapest(usable, times, request, nowMicros);
        }
        int level = lowestLevel(usable, request.operation(), nowMicros);
        return best == null ? new RouteChoice(null, RefusalReason.OVERLOAD, level) : new RouteChoice(best, null, level);
    }

    private List<Member> usable(Request request, long nowMicros) {
        List<Member> healthy = new ArrayList<>();
        List<Member> failing = new ArrayList<>();
        List<Member> unreliable = new ArrayList<>();
        boolean hasFreeSlot = false;
        for (Member member : endpointsOf(request.operation().service())) {
            if (!isAllowed(member, request)) {
                continue;
            }
            boolean isUnreliable =
                    member.status() != MemberStatus.ALIVE || load(member).isEjected(nowMicros);
            if (isUnreliable) {
                unreliable.add(member);
            } else if (member.phase() == EndpointPhase.FAILING) {
                failing.add(member);
            } else {
                healthy.add(member);
                hasFreeSlot |= load(member).utilization(member.slots(), nowMicros) <= 1;
            }
        }
        if (!hasFreeSlot) {
            // A failing endpoint still completes some of its work, while full endpoints refuse all of it.
            healthy.addAll(failing);
        }
        return healthy.isEmpty() ? unreliable : healthy;
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
            notices.keySet().removeIf(name -> membership.find(name) == null);
        }
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the endpoints that have spare capacity and are not much slower than the fastest of them. */
    private List<Member> withSpareCapacity(List<Member> usable, ServiceTimes times, long nowMicros) {
        List<Member> available = new ArrayList<>();
        long minServiceMicros = Long.MAX_VALUE;
        for (Member member : usable) {
            if (hasSpareCapacity(member, nowMicros)) {
                available.add(member);
                long serviceMicros = times.micros(member);
                minServiceMicros = serviceMicros > 0 ? Math.min(minServiceMicros, serviceMicros) : minServiceMicros;
            }
        }
        double maxServiceMicros = minServiceMicros * MAX_LOCAL_SLOWDOWN;
        available.removeIf(member -> times.micros(member) > maxServiceMicros);
        return available;
    }

    private boolean hasSpareCapacity(Member member, long nowMicros) {
        return load(member).utilization(member.slots(), nowMicros) < MAX_LOCAL_UTILIZATION;
    }

    /**
     * Returns the endpoints in this failure domain among which the cheapest is chosen. Calls stay in the domain while one
     * of them has spare capacity. If endpoints report how fast they are now, all senders know the same fastest one, so
     * only a sample is compared.
     */
    private List<Member> localCandidates(List<Member> available, ServiceTimes times, RandomGenerator random) {
        List<Member> local = available.stream().filter(this::isInOwnDomain).toList();
        return times.areReported() ? sample(local, random) : local;
    }

    private boolean isInOwnDomain(Member member) {
        return member.domain().equals(membership.self().domain());
    }

    /**
     * Returns whether endpoints in this failure domain have spare capacity although none of them can be chosen: each is
     * much slower than endpoints elsewhere or its shed level excludes the call. Called only if {@code available} has no
     * endpoint in this failure domain that admits the call.
     */
    private boolean hasUnsuitableEndpointsInOwnDomain(List<Member> usable, List<Member> available, long nowMicros) {
        return !available.isEmpty()
                && usable.stream().anyMatch(member -> isInOwnDomain(member) && hasSpareCapacity(member, nowMicros));
    }

    private List<Member> sample(List<Member> usable, RandomGenerator random) {
        if (usable.size() <= SAMPLE_SIZE) {
            return usable;
        }
        List<Member> sample = new ArrayList<>();
        for (int index = 0; index < SAMPLE_SIZE; index++) {
            sample.add(usable.get(random.nextInt(usable.size())));
        }
        return sample;
    }

    private Member cheapest(List<Member> candidates, ServiceTimes times, Request request, long nowMicros) {
        Member best = null;
        double bestCost = Double.MAX_VALUE;
        double fastest = fastestServiceTime(candidates, times);
        for (Member member : candidates) {
            EndpointLoad load = load(member);
            if (load.level(request.operation(), nowMicros) > request.rank()) {
                continue;
            }
            double known = knownServiceTime(member, times);
            double serviceTime = known > 0 ? known : fastest;
            double cost = load.utilization(member.slots(), nowMicros) * serviceTime * domainFactor(member);
            if (cost < bestCost || cost == bestCost && known == 0) {
                bestCost = cost;
                best = member;
            }
        }
        return best;
    }

    /** Returns the service time in microseconds by which endpoints are compared, 0 if it is not known. */
    private double knownServiceTime(Member member, ServiceTimes times) {
        return times.areReported() ? times.micros(member) : load(member).serviceTimeMicros(member.serviceTimeMicros());
    }

    /**
     * Returns the lowest known service time. An endpoint that was never used is assumed to be as fast: with a fixed
     * assumption, it gets nothing while a faster one is idle, or all calls at once if the others are slower.
     */
    private double fastestServiceTime(List<Member> candidates, ServiceTimes times) {
        double fastest = Double.MAX_VALUE;
        for (Member member : candidates) {
            double known = knownServiceTime(member, times);
            fastest = known > 0 ? Math.min(fastest, known) : fastest;
        }
        return fastest == Double.MAX_VALUE ? 1 : fastest;
    }

    private double domainFactor(Member member) {
        return isInOwnDomain(member) ? 1 : CROSS_DOMAIN_COST_FACTOR;
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
     * Records that a call was sent.
     *
     * @param host the chosen host
     */
    public void recordSent(Member host) {
        load(host).recordSent();
    }

    /**
     * Records an answer, whatever its outcome.
     *
     * @param host the host that answered
     * @param feedback load reported with the answer
     * @param nowMicros current time in microseconds
     */
    public void recordAnswer(Member host, LoadFeedback feedback, long nowMicros) {
        load(host).recordAnswer(feedback, nowMicros);
        if (feedback.notice() != null) {
            notices.put(host.host().name(), feedback.notice());
        } else if (feedback.durationMicros() > 0) {
            // Only an answer of the endpoint ends a restriction; its host may refuse work without knowing of it.
            notices.remove(host.host().name());
        }
    }

    /**
     * Returns the restriction that a host's endpoint named in its latest answer to this host.
     *
     * @param hostName name of the host
     * @return the restriction, or null if the endpoint named none
     */
    public EndpointNotice noticeOf(String hostName) {
        return notices.get(hostName);
    }

    /**
     * Records that a host accepts no new work, which it reported in an answer before gossip has spread it.
     *
     * @param host the host that answered
     * @param nowMicros current time in microseconds
     */
    public void recordLeaving(Member host, long nowMicros) {
        load(host).recordLeaving(nowMicros);
    }

    /**
     * Records a call that got no answer.
     *
     * @param host the host that did not answer
     * @param nowMicros current time in microseconds
     */
    public void recordFailure(Member host, long nowMicros) {
        load(host).recordFailure(nowMicros);
    }

    /**
     * Records that no answer to a dispatch is awaited any more, which says nothing about the host.
     *
     * @param host the host
     */
    public void recordAbandoned(Member host) {
        load(host).recordAbandoned();
    }
}
