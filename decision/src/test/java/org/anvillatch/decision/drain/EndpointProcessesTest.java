package org.anvillatch.decision.drain;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class EndpointProcessesTest {
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = Integer.getInteger("anvillatch.seeds", 1_000);
    private static final InstanceIdentity FIRST = new InstanceIdentity("i", 1_000);
    private static final InstanceIdentity LATER = new InstanceIdentity("i", 2_000);
    private static final InstanceIdentity OTHER_ID = new InstanceIdentity("k", 500);

    private final EndpointProcesses processes = new EndpointProcesses();

    /** Guards against an endpoint that restarted under its id and cannot leave (review/5). */
    @Test
    void firstReportOfARestartedProcessMaySayThatItLeaves() {
        processes.ready(FIRST, 7, 0);
        assertThat(processes.leaving(LATER, SECOND)).isEqualTo(ReportResult.CURRENT);
        assertThat(processes.current()).isEqualTo(LATER);
        assertThat(processes.ready(LATER, 9, 2 * SECOND)).isEqualTo(ReportResult.ALREADY_LEAVING);
        assertThat(processes.ready(FIRST, 8, 9 * SECOND)).isEqualTo(ReportResult.UNDECIDED);
    }

    /** Guards against dropping all reports of a process that started after the clock was set back (ClockStepCase). */
    @Test
    void processWithAnEarlierStartIsNewerOnceItsReportCannotBeLate() {
        processes.ready(LATER, 7, 0);
        assertThat(processes.ready(FIRST, 1, SECOND).isAcknowledged()).isFalse();
        assertThat(processes.leaving(FIRST, 2 * SECOND).isAcknowledged()).isFalse();
        assertThat(processes.ready(FIRST, 4, 6 * SECOND)).isEqualTo(ReportResult.CURRENT);
        assertThat(processes.leaving(FIRST, 7 * SECOND)).isEqualTo(ReportResult.CURRENT);
    }

    /** Guards against a late first heartbeat that returns a process to service after it has left (UnknownWorkerCase). */
    @Test
    void deregistrationBeforeTheFirstHeartbeatIsKept() {
        processes.ready(FIRST, 7, 0);
        processes.leaving(FIRST, SECOND);
        assertThat(processes.leaving(OTHER_ID, 2 * SECOND)).isEqualTo(ReportResult.LEAVING_RECORDED);
        assertThat(processes.ready(OTHER_ID, 1, 5 * SECOND)).isEqualTo(ReportResult.ALREADY_LEAVING);
    }

    /** Guards against losing a deregistration that does not say when the process started. */
    @Test
    void deregistrationWithoutStartCoversLateReports() {
        assertThat(processes.deregistered("i", 0)).isEqualTo(ReportResult.LEAVING_RECORDED);
        assertThat(processes.ready(FIRST, 1, 4 * SECOND)).isEqualTo(ReportResult.ALREADY_LEAVING);
        assertThat(processes.ready(LATER, 1, 6 * SECOND)).isEqualTo(ReportResult.CURRENT);
    }

    /** Guards against work for a process whose leaving was acknowledged before the node was restarted (review/2). */
    @Test
    void recoveredLeavingOutlastsLateReports() {
        processes.recover(List.of(OTHER_ID, LATER), 0);
        assertThat(processes.ready(LATER, 3, 4 * SECOND)).isEqualTo(ReportResult.ALREADY_LEAVING);
        assertThat(processes.ready(FIRST, 3, 4 * SECOND).isAcknowledged()).isFalse();
        InstanceIdentity newest = new InstanceIdentity("i", 3_000);
        assertThat(processes.ready(newest, 1, 4 * SECOND).isAcknowledged()).isFalse();
        assertThat(processes.ready(newest, 2, 6 * SECOND)).isEqualTo(ReportResult.CURRENT);
    }

    /** Guards against the late report of a process that ended while its clock was ahead, after a restart of the node. */
    @Test
    void lateReportWithALaterStartDoesNotReplaceARecoveredLeavingProcess() {
        processes.recover(List.of(FIRST), 0);
        assertThat(processes.ready(LATER, 3, 3 * SECOND)).isEqualTo(ReportResult.UNDECIDED);
        assertThat(processes.isLeaving(processes.current())).isTrue();
    }

    /** Guards against the same report before any other one of its id, when a deregistration came first. */
    @Test
    void lateReportWithALaterStartDoesNotFollowADeregistration() {
        processes.leaving(FIRST, 0);
        assertThat(processes.ready(LATER, 1, 3 * SECOND)).isEqualTo(ReportResult.UNDECIDED);
        assertThat(processes.ready(LATER, 2, 6 * SECOND)).isEqualTo(ReportResult.CURRENT);
    }

    @Test
    void reportsOutOfOrderChangeNothing() {
        processes.ready(FIRST, 7, 0);
        assertThat(processes.ready(FIRST, 6, SECOND)).isEqualTo(ReportResult.SUPERSEDED);
        processes.ready(LATER, 1, 2 * SECOND);
        assertThat(processes.ready(FIRST, 8, 3 * SECOND)).isEqualTo(ReportResult.UNDECIDED);
        assertThat(processes.leaving(FIRST, 3 * SECOND)).isEqualTo(ReportResult.UNDECIDED);
        assertThat(processes.current()).isEqualTo(LATER);
        assertThat(processes.isLeaving(LATER)).isFalse();
    }

    /** Guards against a late report of an ended process that shuts out the process that runs. */
    @Test
    void runningProcessReturnsWhenItsSupposedSuccessorIsSilent() {
        processes.ready(FIRST, 7, 0);
        processes.ready(LATER, 1, SECOND);
        processes.ready(FIRST, 8, 2 * SECOND);
        assertThat(processes.ready(FIRST, 11, 7 * SECOND)).isEqualTo(ReportResult.CURRENT);
    }

    /**
     * Property over random lives of endpoints: ids repeat, reports are up to 5 s late, the first ones too, clocks are set
     * back, and the node is restarted and recovers. While a process runs whose leaving was acknowledged, no process with
     * its id gets work. The process that runs is accepted within 38 s unless the node was restarted.
     */
    @Test
    void acknowledgedLeavingIsNeverReverted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new EndpointLife(new SplittableRandom(seed), "seed " + seed).play();
        }
    }

    private static final class EndpointLife {
        private final SplittableRandom random;
        private final String name;
        private InstanceIdentity running;
        private final boolean clockSetBack;
        private boolean nodeRestarted;
        private EndpointProcesses processes = new EndpointProcesses();
        private final PriorityQueue<Report> underWay =
                new PriorityQueue<>(Comparator.comparingLong(Report::arrivalMicros));
        private final Set<InstanceIdentity> acknowledged = new LinkedHashSet<>();

        private record Report(InstanceIdentity process, long sequence, boolean leaving, long arrivalMicros) {}

        EndpointLife(SplittableRandom random, String name) {
            this.random = random;
            this.name = name;
            this.clockSetBack = random.nextBoolean();
        }

        void play() {
            long now = 0;
            for (int process = 0; process < 6; process++) {
                now = runProcess(process, now);
            }
        }

        private long runProcess(int number, long startMicros) {
            long clockMillis = startMicros / 1_000
                    + 1_000_000
                    - (clockSetBack && random.nextInt(2) == 0 ? random.nextInt(20_000) : 0);
            InstanceIdentity process = new InstanceIdentity("i" + random.nextInt(2), clockMillis + number);
            int reports = 1 + random.nextInt(random.nextInt(4) == 0 ? 40 : 12);
            int leavingFrom = random.nextInt(reports + 3);
            long now = startMicros;
            long acceptedBy = startMicros + 38 * SECOND;
            running = process;
            for (int sequence = 0; sequence < reports; sequence++) {
                now += 1_500_000;
                boolean late = random.nextInt(4) == 0;
                long delay = late ? random.nextLong(5 * SECOND) : random.nextLong(SECOND / 10);
                underWay.add(new Report(process, sequence, sequence >= leavingFrom, now + delay));
                deliverUntil(now);
                if (random.nextInt(20) == 0) {
                    restartNode(now);
                    nodeRestarted = true;
                }
            }
            deliverUntil(now + SECOND / 10);
            if (now > acceptedBy && !nodeRestarted) {
                assertWithMessage("accepted, " + name)
                        .that(processes.isLeaving(process) || process.equals(processes.current()))
                        .isTrue();
            }
            return now + SECOND / 10;
        }

        private void restartNode(long now) {
            EndpointProcesses next = new EndpointProcesses();
            next.recover(processes.leaving(), now);
            processes = next;
        }

        private void deliverUntil(long now) {
            while (!underWay.isEmpty() && underWay.peek().arrivalMicros() <= now) {
                Report report = underWay.remove();
                if (report.leaving()) {
                    if (processes
                            .leaving(report.process(), report.arrivalMicros())
                            .isAcknowledged()) {
                        acknowledged.add(report.process());
                    }
                } else {
                    processes.ready(report.process(), report.sequence(), report.arrivalMicros());
                }
                InstanceIdentity current = processes.current();
                if (acknowledged.contains(running)
                        && current != null
                        && current.id().equals(running.id())) {
                    assertWithMessage("no work, " + name)
                            .that(processes.isLeaving(current))
                            .isTrue();
                }
            }
        }
    }
}
