package org.anvillatch.decision.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Witnesses;
import org.anvillatch.decision.model.HostIdentity;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Random histories of a whole system: endpoints leave and start again, often under their id and with clocks that are set
 * back; reports are up to 5 s late; some or all hosts are killed together, in series; messages to witnesses are lost; the
 * store is away at times.
 *
 * <p>Property: while an endpoint process runs whose leaving was acknowledged, no process with its id gets work.
 */
class LeavingHistoryTest {
    private static final int SEEDS = Integer.getInteger("anvillatch.seeds", 300);
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long STEP = 50 * MILLI;
    private static final long LENGTH = 60 * SECOND;

    @Test
    void acknowledgedLeavingOutlastsKillsOfAnyHosts() {
        int acknowledged = 0;
        int restarts = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            History history = new History(seed);
            history.play();
            acknowledged += history.acknowledged.size();
            restarts += history.restarts;
        }
        // The histories must contain what they are about.
        assertThat(acknowledged).isGreaterThan(SEEDS);
        assertThat(restarts).isGreaterThan(10 * SEEDS);
    }

    /** Guards against a restart of the whole system, or of one host, that keeps endpoints waiting for 5 s. */
    @Test
    void recoveryIsQuickUnlessTheStoreIsAway() {
        for (int seed = 0; seed < SEEDS; seed++) {
            History history = new History(seed);
            history.storeAlwaysUp = true;
            history.play();
            assertWithMessage("seed %s", seed)
                    .that(history.longestRecoveryMicros)
                    .isAtMost(LeavingRecovery.MAX_WITNESS_WAIT_MICROS + STEP);
        }
    }

    private record Report(InstanceIdentity process, long sequence, boolean leaving, long arrivalMicros) {}

    /** One host with its endpoint. */
    private static final class Host {
        private final String name;
        private final String domain;
        private long startMicros;
        private long downUntilMicros;
        private long joinedMicros;
        private EndpointProcesses processes = new EndpointProcesses();
        private LeavingRecords records = new LeavingRecords();
        private LeavingRecovery recovery;
        private final Set<String> learned = new LinkedHashSet<>();
        private final Set<String> notStored = new LinkedHashSet<>();
        private final List<Report> waiting = new ArrayList<>();

        private InstanceIdentity running;
        private long sequence;
        private long nextReportMicros;
        private long leavesMicros;
        private long endsMicros;
        private final PriorityQueue<Report> underWay =
                new PriorityQueue<>(Comparator.comparingLong(Report::arrivalMicros));

        Host(int number) {
            name = "host-" + number;
            domain = "domain-" + number % 3;
        }

        boolean isUp(long now) {
            return now >= downUntilMicros;
        }

        Member asMember() {
            return new Member(
                    new HostIdentity(name, 1), 0, name, domain, "s", 1, EndpointPhase.SERVING, MemberStatus.ALIVE, 0);
        }
    }

    private static final class History {
        private static final long MAX_JOIN_MICROS = 600 * MILLI;

        private final SplittableRandom random;
        private final String name;
        private final List<Host> hosts = new ArrayList<>();
        private final Set<String> stored = new LinkedHashSet<>();
        private final Set<InstanceIdentity> acknowledged = new LinkedHashSet<>();
        private boolean storeAlwaysUp;
        private long storeDownUntilMicros;
        private long longestRecoveryMicros;
        private int restarts;

        History(int seed) {
            random = new SplittableRandom(seed);
            name = "seed " + seed;
            int count = 2 + random.nextInt(7);
            for (int number = 0; number < count; number++) {
                Host host = new Host(number);
                start(host, 0);
                startEndpoint(host, random.nextLong(SECOND));
                hosts.add(host);
            }
        }

        void play() {
            for (long now = 0; now < LENGTH; now += STEP) {
                disturb(now);
                for (Host host : hosts) {
                    runEndpoint(host, now);
                    if (host.isUp(now)) {
                        recover(host, now);
                        store(host, now);
                        deliver(host, now);
                        check(host);
                    } else {
                        dropArrived(host, now);
                    }
                }
            }
        }

        private static void dropArrived(Host host, long now) {
            host.underWay.removeIf(report -> report.arrivalMicros() <= now);
        }

        private void disturb(long now) {
            if (random.nextInt(200) == 0) {
                storeDownUntilMicros = now + random.nextLong(4 * SECOND);
            }
            if (random.nextInt(100) == 0) {
                int share = random.nextInt(4);
                long down = now + 100 * MILLI + random.nextLong(SECOND);
                for (Host host : hosts) {
                    if (share == 3 || random.nextInt(4) <= share) {
                        start(host, down);
                        restarts++;
                    }
                }
            }
        }

        private boolean isStoreUp(long now) {
            return storeAlwaysUp || now >= storeDownUntilMicros;
        }

        private void start(Host host, long now) {
            host.downUntilMicros = now;
            host.startMicros = now;
            host.joinedMicros = now + 100 * MILLI + random.nextLong(MAX_JOIN_MICROS - 100 * MILLI);
            host.processes = new EndpointProcesses();
            host.records = new LeavingRecords();
            host.recovery = new LeavingRecovery(now);
            host.learned.clear();
            host.notStored.clear();
            host.waiting.clear();
        }

        private void startEndpoint(Host host, long now) {
            long clockMillis = 1_000_000 + now / MILLI - (random.nextInt(4) == 0 ? random.nextInt(8_000) : 0);
            String id = "i" + host.name + random.nextInt(2);
            host.running = new InstanceIdentity(id, clockMillis);
            host.sequence = 0;
            host.nextReportMicros = now + random.nextLong(SECOND / 2);
            host.leavesMicros = now + random.nextLong(12 * SECOND);
            host.endsMicros =
                    host.leavesMicros + (random.nextInt(3) == 0 ? 0 : 2 * SECOND + random.nextLong(8 * SECOND));
        }

        private void runEndpoint(Host host, long now) {
            if (now >= host.endsMicros) {
                startEndpoint(host, now + random.nextLong(SECOND));
            }
            if (now >= host.nextReportMicros) {
                boolean leaving = now >= host.leavesMicros;
                long delay = random.nextInt(4) == 0
                        ? random.nextLong(EndpointProcesses.MAX_LATENESS_MICROS)
                        : random.nextLong(STEP);
                host.underWay.add(new Report(host.running, ++host.sequence, leaving, now + delay));
                host.nextReportMicros = now + SECOND + random.nextLong(SECOND / 2);
            }
        }

        private List<Host> othersInView(Host host, long now) {
            return hosts.stream()
                    .filter(other -> other != host && other.isUp(now) && now >= other.joinedMicros)
                    .toList();
        }

        private List<Host> witnesses(Host host, int perDomain, long now) {
            List<Host> others = othersInView(host, now);
            List<Member> members = others.stream().map(Host::asMember).toList();
            Set<String> chosen = new LinkedHashSet<>();
            Witnesses.choose(host.name, members, perDomain)
                    .forEach(member -> chosen.add(member.host().name()));
            return others.stream().filter(other -> chosen.contains(other.name)).toList();
        }

        private static boolean isRecovered(Host host) {
            return host.recovery == null;
        }

        private void recover(Host host, long now) {
            if (isRecovered(host)) {
                return;
            }
            if (isStoreUp(now)) {
                host.recovery.storeRead();
                stored.stream().filter(text -> text.startsWith("i" + host.name)).forEach(host.learned::add);
            }
            if (now >= host.joinedMicros) {
                for (Host witness : witnesses(host, Witnesses.ASKED_PER_DOMAIN, now)) {
                    host.recovery.hostAnswered(now - witness.startMicros, now);
                    host.learned.addAll(witness.records.of(host.name, now));
                }
                host.recovery.allHostsAnswered();
            }
            if (host.recovery.basis(now).isPresent()) {
                longestRecoveryMicros = Math.max(longestRecoveryMicros, now - host.startMicros);
                boolean late = now - host.startMicros >= EndpointProcesses.MAX_LATENESS_MICROS;
                host.recovery = null;
                host.processes.recover(
                        host.learned.stream()
                                .flatMap(text -> InstanceIdentity.parse(text).stream())
                                .toList(),
                        now);
                host.notStored.addAll(host.learned);
                if (!late) {
                    host.waiting.forEach(report -> host.processes.ready(report.process(), report.sequence(), now));
                }
                host.waiting.clear();
            }
        }

        private void store(Host host, long now) {
            if (isStoreUp(now)) {
                stored.addAll(host.notStored);
                host.notStored.clear();
            }
        }

        private void deliver(Host host, long now) {
            while (!host.underWay.isEmpty() && host.underWay.peek().arrivalMicros() <= now) {
                Report report = host.underWay.remove();
                if (report.leaving()) {
                    if (host.processes.leaving(report.process(), now).isAcknowledged() && record(host, now)) {
                        acknowledged.add(report.process());
                    }
                } else if (isRecovered(host)) {
                    host.processes.ready(report.process(), report.sequence(), now);
                } else {
                    host.waiting.add(report);
                }
            }
        }

        /** Records the leaving processes of a host, and returns whether they may be acknowledged. */
        private boolean record(Host host, long now) {
            List<String> processes = host.processes.leaving().stream()
                    .map(InstanceIdentity::toString)
                    .toList();
            for (Host witness : witnesses(host, Witnesses.TOLD_PER_DOMAIN, now)) {
                if (random.nextInt(5) > 0) {
                    witness.records.add(host.name, processes, now);
                }
            }
            host.notStored.addAll(processes);
            store(host, now);
            return isStoreUp(now);
        }

        private void check(Host host) {
            InstanceIdentity current = host.processes.current();
            if (acknowledged.contains(host.running)
                    && current != null
                    && current.id().equals(host.running.id())) {
                assertWithMessage("no work for %s beside %s, %s", current, host.running, name)
                        .that(host.processes.isLeaving(current))
                        .isTrue();
            }
        }
    }
}
