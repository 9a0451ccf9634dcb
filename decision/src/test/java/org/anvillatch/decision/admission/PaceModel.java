package org.anvillatch.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.routing.EndpointSelector;
import org.anvillatch.decision.routing.LoadFeedback;
import org.anvillatch.decision.routing.RouteChoice;

/**
 * Pure model of several senders and the endpoints of one service, one of which (or all, one after another) starts,
 * recovers or was slow. Each endpoint runs work in slots at a pace that changes with time.
 */
final class PaceModel {
    static final int ENDPOINTS = 8;
    static final int SLOTS = 16;
    static final long EVENT = 5_000_000;
    static final long STOP = 15_000_000;
    private static final int SENDERS = 20;
    private static final long WORK_MICROS = 40_000;
    private static final long TARGET_MICROS = 100_000;
    private static final long NETWORK_MICROS = 500;
    private static final long DEADLINE_MICROS = 1_000_000;
    /** Maximum length of a queue, as that of a gatekeeper with these slots. */
    private static final int MAX_QUEUE = 3 * SLOTS;

    private static final long WINDOW_MICROS = 250_000;
    private static final OperationName OPERATION = new OperationName("glossary", "terms");

    /** How the model chooses endpoints and limits their concurrency. */
    enum Policy {
        /** The code under test. */
        DECISION,
        /** The choice under test, with gatekeepers that start work in all slots at once. */
        NO_LIMIT,
        /** Least expected completion with perfect knowledge, without a limit. */
        ORACLE
    }

    /**
     * A case.
     *
     * @param load utilization of the slots of all endpoints that are present before the event
     * @param joins whether the watched endpoint is absent before the event
     * @param replaced whether all endpoints are replaced one after another, every 1.5 s
     * @param shared whether slow work is due to fewer processors, so that it is slow only beyond a number of executions
     * @param pace factor of the duration of work, by seconds since the endpoint's start or, if it stays, the event
     */
    record Case(String name, double load, boolean joins, boolean replaced, boolean shared, DoubleUnaryOperator pace) {}

    private record Event(long atMicros, Runnable action) {}

    private final class Endpoint {
        private final Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
        private final HostIdentity host;
        private final Map<Long, Runnable> queued = new HashMap<>();
        private boolean present;
        private long changedMicros = Long.MIN_VALUE / 2;
        private int running;
        private int inSystem;
        private long update;
        private final ServiceTimeEstimator serviceTime = new ServiceTimeEstimator();
        private final Deque<Long> fifo = new ArrayDeque<>();

        private Endpoint(int number) {
            host = new HostIdentity("host-" + number, 1);
        }

        private void announce() {
            gatekeeper.endpointAnnounced(SLOTS);
            present = true;
        }

        private double pace() {
            return scenario.pace().applyAsDouble((now - changedMicros) / 1e6);
        }

        private Member member() {
            EndpointPhase phase = present ? EndpointPhase.SERVING : EndpointPhase.ABSENT;
            return new Member(
                    host,
                    ++update,
                    host.name(),
                    "d",
                    "glossary",
                    SLOTS,
                    phase,
                    MemberStatus.ALIVE,
                    policy == Policy.DECISION ? gatekeeper.serviceTimeMicros() : serviceTime.micros());
        }

        private void perform(List<AdmissionAction> actions) {
            for (AdmissionAction action : actions) {
                Runnable request = queued.remove(action.execution());
                if (action instanceof AdmissionAction.Start) {
                    request.run();
                } else {
                    refused.remove(action.execution()).run();
                }
            }
        }

        private void offer(Request request) {
            long number = nextNumber++;
            inSystem++;
            queued.put(number, () -> start(request, number));
            refused.put(number, () -> {
                inSystem--;
                at(NETWORK_MICROS, () -> request.refused(this));
            });
            if (policy == Policy.DECISION) {
                perform(gatekeeper.offer(
                        new Work(number, OPERATION, 0, request.arrivedMicros + DEADLINE_MICROS, true), now));
            } else if (fifo.size() < MAX_QUEUE) {
                fifo.add(number);
                startNext();
            } else {
                refused.remove(number).run();
            }
        }

        /** Starts work in the order of arrival, without a limit below the slots. */
        private void startNext() {
            while (running < SLOTS && !fifo.isEmpty()) {
                queued.remove(fifo.remove()).run();
            }
        }

        private void start(Request request, long number) {
            running++;
            double slow = scenario.shared() ? Math.max(1, running * pace() / SLOTS) : pace();
            long duration = (long) (WORK_MICROS * (0.5 + random.nextDouble()) * slow);
            at(duration, () -> {
                running--;
                inSystem--;
                refused.remove(number);
                serviceTime.addSample(duration);
                startNext();
                perform(gatekeeper.recordEnd(
                        number, ExecutionResult.ANSWERED, duration, OPERATION, NestedCallStats.NONE, now));
                at(NETWORK_MICROS, () -> request.answered(this, duration));
            });
        }
    }

    private final class Request {
        private final long arrivedMicros = now;
        private final int sender = random.nextInt(SENDERS);
        private final Set<String> tried = new HashSet<>();

        private void send() {
            Endpoint endpoint = choose();
            if (endpoint == null || tried.size() > 1) {
                past += isWatched(arrivedMicros) ? 1 : 0;
                return;
            }
            selectors.get(sender).recordSent(members.get(endpoint));
            tried.add(endpoint.host.name());
            at(NETWORK_MICROS, () -> endpoint.offer(this));
        }

        private Endpoint choose() {
            if (policy == Policy.ORACLE) {
                return endpoints.stream()
                        .filter(endpoint -> endpoint.present)
                        .min(Comparator.comparingDouble(PaceModel.this::expectedCompletion))
                        .orElseThrow();
            }
            RouteChoice choice = selectors
                    .get(sender)
                    .choose(new EndpointSelector.Request(OPERATION, 2_047, tried, Set.of()), now, random);
            return choice.isChosen() ? byName.get(choice.host().host().name()) : null;
        }

        private void refused(Endpoint endpoint) {
            record(endpoint, 0);
            send();
        }

        private void answered(Endpoint endpoint, long duration) {
            record(endpoint, duration);
            if (isWatched(arrivedMicros)) {
                past += now - arrivedMicros > TARGET_MICROS ? 1 : 0;
            }
            completions.merge(now / WINDOW_MICROS, 1, Integer::sum);
            if (endpoint == endpoints.get(ENDPOINTS - 1)) {
                watchedCompletions.merge(now / WINDOW_MICROS, 1, Integer::sum);
            }
        }

        private void record(Endpoint endpoint, long duration) {
            int inFlight = endpoint.inSystem;
            selectors
                    .get(sender)
                    .recordAnswer(members.get(endpoint), new LoadFeedback(OPERATION, 0, inFlight, duration, null), now);
        }
    }

    private final Case scenario;
    private final Policy policy;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Map<String, Endpoint> byName = new HashMap<>();
    private final Map<Endpoint, Member> members = new HashMap<>();
    private final List<Membership> memberships = new ArrayList<>();
    private final List<EndpointSelector> selectors = new ArrayList<>();
    private final Map<Long, Runnable> refused = new HashMap<>();
    private final Map<Long, Integer> completions = new HashMap<>();
    private final Map<Long, Integer> watchedCompletions = new HashMap<>();
    private long now;
    private long nextNumber = 1;
    private int past;
    private int arrived;

    PaceModel(long seed, Case scenario, Policy policy) {
        this.random = new SplittableRandom(seed);
        this.scenario = scenario;
        this.policy = policy;
        for (int number = 0; number < ENDPOINTS; number++) {
            Endpoint endpoint = new Endpoint(number);
            endpoints.add(endpoint);
            byName.put(endpoint.host.name(), endpoint);
        }
        for (int number = 0; number < SENDERS; number++) {
            Member self = new Member(
                    new HostIdentity("sender-" + number, 1),
                    0,
                    "",
                    "d",
                    "",
                    0,
                    EndpointPhase.ABSENT,
                    MemberStatus.ALIVE,
                    0);
            Membership membership = new Membership(self, List.of());
            memberships.add(membership);
            selectors.add(new EndpointSelector(membership));
        }
    }

    PaceModel run() {
        for (int number = 0; number < ENDPOINTS; number++) {
            if (number < ENDPOINTS - 1 || !scenario.joins()) {
                endpoints.get(number).announce();
            }
        }
        gossip();
        at(0, this::arrive);
        at(0, this::tick);
        for (int number = 0; number < ENDPOINTS; number++) {
            Endpoint endpoint = endpoints.get(number);
            if (scenario.replaced()) {
                // The watched endpoint is the first that is replaced.
                at(EVENT + (ENDPOINTS - 1 - number) * 1_500_000L, () -> change(endpoint));
            } else if (number == ENDPOINTS - 1) {
                at(EVENT, () -> change(endpoint));
            }
        }
        while (now < STOP) {
            Event event = events.remove();
            now = event.atMicros();
            event.action().run();
        }
        return this;
    }

    private void change(Endpoint endpoint) {
        endpoint.changedMicros = now;
        if (scenario.joins() || scenario.replaced()) {
            endpoint.announce();
        }
        gossip();
    }

    private void at(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, action));
    }

    private void tick() {
        endpoints.forEach(endpoint -> endpoint.perform(endpoint.gatekeeper.tick(now)));
        if (now % 100_000 == 0) {
            gossip();
        }
        at(10_000, this::tick);
    }

    private void gossip() {
        endpoints.forEach(endpoint -> members.put(endpoint, endpoint.member()));
        memberships.forEach(membership -> membership.mergeUpdates(List.copyOf(members.values()), now));
    }

    private void arrive() {
        int present = scenario.joins() ? ENDPOINTS - 1 : ENDPOINTS;
        double perSecond = scenario.load() * present * SLOTS * 1e6 / WORK_MICROS;
        at((long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond), this::arrive);
        arrived += isWatched(now) ? 1 : 0;
        new Request().send();
    }

    private double expectedCompletion(Endpoint endpoint) {
        double position = endpoint.inSystem + 1;
        double slow = scenario.shared() ? Math.max(1, position * endpoint.pace() / SLOTS) : endpoint.pace();
        double waiting = Math.max(0, position - SLOTS) / SLOTS;
        return slow * (1 + waiting) + position / SLOTS / 100;
    }

    private boolean isWatched(long micros) {
        return micros >= EVENT && micros < EVENT + 6_000_000;
    }

    /** Returns the time after the event from which the watched endpoint completes 0.9 of its fair share, in seconds. */
    double secondsToFairShare() {
        for (long window = EVENT / WINDOW_MICROS; window < STOP / WINDOW_MICROS - 1; window++) {
            double share = 0;
            double all = 0;
            for (long next = window; next < window + 2; next++) {
                share += watchedCompletions.getOrDefault(next, 0);
                all += completions.getOrDefault(next, 0);
            }
            if (share >= 0.9 * all / ENDPOINTS) {
                return (window * WINDOW_MICROS - EVENT) / 1e6;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns the fraction of the requests in the 6 s after the event that were refused or missed their target. */
    double pastTarget() {
        return (double) past / arrived;
    }
}
