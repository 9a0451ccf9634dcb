package org.anvillatch.decision.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.anvillatch.decision.admission.AdmissionAction;
import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.decision.admission.ExecutionResult;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.admission.GatekeeperStatus;
import org.anvillatch.decision.admission.NestedCallStats;
import org.anvillatch.decision.admission.Work;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.ReportedLoad;

/**
 * Model of senders that choose among uneven endpoints: endpoints differ in speed, their machines are slowed down for
 * short times, and two operations differ in their service times. Runs on simulated time.
 */
final class UnevenEndpointsModel {
    private static final int DOMAINS = 3;
    private static final int ENDPOINTS_PER_DOMAIN = 6;
    private static final int ENDPOINTS = DOMAINS * ENDPOINTS_PER_DOMAIN;
    private static final int SENDERS = 24;
    private static final int SLOTS = 16;
    private static final double[] SPEEDS = {0.5, 1, 1, 1.5};
    private static final OperationName SHORT = new OperationName("orders", "status");
    private static final OperationName LONG = new OperationName("orders", "purchase");
    private static final long SHORT_MICROS = 15_000;
    private static final long LONG_MICROS = 140_000;
    private static final double SHORT_SHARE = 0.6;
    private static final double UTILIZATION = 0.6;
    private static final long PACE_PERIOD_MICROS = 600_000;
    private static final double SLOW_SHARE = 0.15;
    private static final int SLOW_PERCENT = 250;
    private static final long HOP_MICROS = 700;
    private static final long GOSSIP_PERIOD_MICROS = 1_000_000;
    private static final long RUN_MICROS = 12_000_000;
    private static final long WARM_UP_MICROS = 3_000_000;

    private final Strategy strategy;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Sender> senders = new ArrayList<>();
    private final List<Long> latencies = new ArrayList<>();
    private long sequence;
    private int calls;
    private int crossDomainCalls;
    private int refusedCalls;

    /** How a sender chooses an endpoint. */
    enum Strategy {
        /** By the mean service times that hosts advertise. */
        ADVERTISED,
        /** By the service times of the operation and the pace that answers report. */
        REPORTED,
        /** By the true state of all endpoints. */
        ORACLE
    }

    /** Result of one run; latencies in microseconds. */
    record Result(long p50Micros, long p99Micros, double crossDomainShare, double refusedShare) {}

    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMicros != other.atMicros
                    ? Long.compare(atMicros, other.atMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private record Call(Sender sender, OperationName operation, long workMicros, long sentMicros) {}

    private final class Endpoint {
        private final int number;
        private final double speed;
        private final Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
        private final Map<Long, Call> admitted = new HashMap<>();
        private int pacePercent = 100;
        private long pendingMicros;

        private Endpoint(int number) {
            this.number = number;
            this.speed = SPEEDS[number % SPEEDS.length];
            gatekeeper.endpointAnnounced(SLOTS);
        }

        private String domain() {
            return "d" + number % DOMAINS;
        }

        private Member member() {
            return new Member(
                    new HostIdentity("host-" + number, 1),
                    0,
                    "",
                    domain(),
                    SHORT.service(),
                    SLOTS,
                    EndpointPhase.SERVING,
                    MemberStatus.ALIVE,
                    gatekeeper.serviceTimeMicros());
        }

        private void arrive(Call call) {
            long execution = sequence++;
            admitted.put(execution, call);
            Work work = new Work(execution, call.operation(), 0, Long.MAX_VALUE, true);
            perform(gatekeeper.offer(work, currentMicros));
        }

        private void perform(List<AdmissionAction> actions) {
            for (AdmissionAction action : actions) {
                if (action instanceof AdmissionAction.Start start) {
                    Call call = admitted.get(start.execution());
                    long micros = (long) (call.workMicros() / speed * pacePercent / 100);
                    schedule(currentMicros + micros, () -> complete(start.execution(), micros));
                } else {
                    refuse(admitted.remove(action.execution()));
                }
            }
        }

        private void refuse(Call call) {
            pendingMicros -= call.workMicros();
            refusedCalls++;
            int inFlight = gatekeeper.status().running() + gatekeeper.status().waiting();
            LoadFeedback feedback = new LoadFeedback(call.operation(), 0, inFlight, 0, null);
            schedule(currentMicros + HOP_MICROS, () -> call.sender().refused(this, feedback));
        }

        private void complete(long execution, long micros) {
            Call call = admitted.remove(execution);
            pendingMicros -= call.workMicros();
            GatekeeperStatus status = gatekeeper.status();
            ReportedLoad load = new ReportedLoad(status.running(), status.waiting(), SLOTS, pacePercent);
            gatekeeper.recordNotice(new EndpointNotice("i", Double.POSITIVE_INFINITY, false, load), currentMicros);
            List<AdmissionAction> next = gatekeeper.recordEnd(
                    execution, ExecutionResult.ANSWERED, micros, call.operation(), NestedCallStats.NONE, currentMicros);
            LoadFeedback feedback = new LoadFeedback(
                    call.operation(),
                    0,
                    gatekeeper.status().running() + gatekeeper.status().waiting(),
                    micros,
                    null,
                    strategy == Strategy.REPORTED ? gatekeeper.serviceTimeOf(call.operation()) : null);
            schedule(currentMicros + HOP_MICROS, () -> call.sender().answered(this, call, feedback));
            perform(next);
        }

        private double expectedMicros(long workMicros) {
            return (workMicros + (double) pendingMicros / SLOTS) / speed * pacePercent / 100;
        }
    }

    private final class Sender {
        private final int number;
        private final Membership membership;
        private final EndpointSelector selector;

        private Sender(int number) {
            this.number = number;
            Member self = new Member(
                    new HostIdentity("sender-" + number, 1),
                    0,
                    "",
                    "d" + number % DOMAINS,
                    "",
                    0,
                    EndpointPhase.ABSENT,
                    MemberStatus.ALIVE,
                    0);
            membership = new Membership(self, List.of());
            selector = new EndpointSelector(membership);
        }

        private void send(OperationName operation, long workMicros, long now) {
            Endpoint endpoint = choose(operation, workMicros, now);
            endpoint.pendingMicros += workMicros;
            selector.recordSent(endpoint.member());
            if (now > WARM_UP_MICROS) {
                calls++;
                crossDomainCalls += endpoint.number % DOMAINS == number % DOMAINS ? 0 : 1;
            }
            Call call = new Call(this, operation, workMicros, now);
            schedule(now + HOP_MICROS, () -> endpoint.arrive(call));
        }

        private Endpoint choose(OperationName operation, long workMicros, long now) {
            if (strategy == Strategy.ORACLE) {
                return endpoints.stream()
                        .min((one, other) -> Double.compare(cost(one, workMicros), cost(other, workMicros)))
                        .orElseThrow();
            }
            EndpointSelector.Request request =
                    new EndpointSelector.Request(operation, Integer.MAX_VALUE, Set.of(), Set.of());
            String name = selector.choose(request, now, random).host().host().name();
            return endpoints.get(Integer.parseInt(name.substring("host-".length())));
        }

        private double cost(Endpoint endpoint, long workMicros) {
            double factor =
                    endpoint.number % DOMAINS == number % DOMAINS ? 1 : EndpointSelector.CROSS_DOMAIN_COST_FACTOR;
            return endpoint.expectedMicros(workMicros) * factor;
        }

        private void refused(Endpoint endpoint, LoadFeedback feedback) {
            selector.recordAnswer(endpoint.member(), feedback, currentMicros);
        }

        private void answered(Endpoint endpoint, Call call, LoadFeedback feedback) {
            selector.recordAnswer(endpoint.member(), feedback, currentMicros);
            if (call.sentMicros() > WARM_UP_MICROS) {
                latencies.add(currentMicros - call.sentMicros());
            }
        }
    }

    private long currentMicros;

    UnevenEndpointsModel(Strategy strategy, long seed) {
        this.strategy = strategy;
        this.random = new SplittableRandom(seed);
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(new Endpoint(number));
        }
        for (int number = 0; number < SENDERS; number++) {
            senders.add(new Sender(number));
        }
    }

    Result run() {
        schedule(0, this::gossip);
        schedule(0, this::changePaces);
        schedule(0, this::arrival);
        while (!events.isEmpty() && events.peek().atMicros() < RUN_MICROS) {
            Event event = events.poll();
            currentMicros = event.atMicros();
            event.action().run();
        }
        long[] sorted = latencies.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return new Result(
                sorted[sorted.length / 2],
                sorted[sorted.length * 99 / 100],
                (double) crossDomainCalls / calls,
                (double) refusedCalls / calls);
    }

    private void schedule(long atMicros, Runnable action) {
        events.add(new Event(atMicros, sequence++, action));
    }

    private void gossip() {
        List<Member> members = endpoints.stream().map(Endpoint::member).toList();
        for (Sender sender : senders) {
            for (Member member : members) {
                sender.membership.mergeUpdates(List.of(withUpdate(member)), currentMicros);
            }
        }
        schedule(currentMicros + GOSSIP_PERIOD_MICROS, this::gossip);
    }

    private Member withUpdate(Member member) {
        return new Member(
                member.host(),
                currentMicros,
                member.address(),
                member.domain(),
                member.service(),
                member.slots(),
                member.phase(),
                member.status(),
                member.serviceTimeMicros());
    }

    private void changePaces() {
        for (Endpoint endpoint : endpoints) {
            endpoint.pacePercent = random.nextDouble() < SLOW_SHARE ? SLOW_PERCENT : 100;
        }
        schedule(currentMicros + PACE_PERIOD_MICROS, this::changePaces);
    }

    private void arrival() {
        boolean isShort = random.nextDouble() < SHORT_SHARE;
        long mean = isShort ? SHORT_MICROS : LONG_MICROS;
        long work = (long) (mean * (0.5 + random.nextDouble()));
        senders.get(random.nextInt(SENDERS)).send(isShort ? SHORT : LONG, work, currentMicros);
        double meanWork = SHORT_SHARE * SHORT_MICROS + (1 - SHORT_SHARE) * LONG_MICROS;
        double meanPace = 1 + SLOW_SHARE * (SLOW_PERCENT - 100) / 100;
        double perMicro = UTILIZATION * ENDPOINTS * SLOTS / (meanWork * meanPace);
        schedule(currentMicros + (long) (-Math.log(1 - random.nextDouble()) / perMicro) + 1, this::arrival);
    }
}
