package org.anvillatch.decision.admission;

import java.util.List;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.model.RefusalReason;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GatekeeperTest {
    private static final OperationName OPERATION = new OperationName("glossary", "terms");
    private static final long FAR_DEADLINE_MICROS = 10_000_000;
    private static final int LOW_RANK = 5;
    private static final int HIGH_RANK = 2 * Rank.BUCKETS;

    private final Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);

    private static Work work(long execution, int rank) {
        return new Work(execution, OPERATION, rank, FAR_DEADLINE_MICROS);
    }

    private void fillSlots(int slots) {
        for (int execution = 0; execution < slots; execution++) {
            gatekeeper.offer(work(1_000 + execution, LOW_RANK), 0);
        }
    }

    @Test
    void refusesWorkWithoutAnEndpoint() {
        List<AdmissionAction> actions = gatekeeper.offer(work(1, LOW_RANK), 0);
        assertThat(actions).containsExactly(new AdmissionAction.Refuse(1, RefusalReason.NO_ENDPOINT, 0));
    }

    @Test
    void startsNoMoreWorkThanTheLimit() {
        gatekeeper.endpointAnnounced(4);
        assertThat(gatekeeper.offer(work(1, LOW_RANK), 0)).containsExactly(new AdmissionAction.Start(1));
        assertThat(gatekeeper.offer(work(2, LOW_RANK), 0)).isEmpty();
        assertThat(gatekeeper.status().running()).isEqualTo(1);
    }

    /** Load pattern: the endpoint immediately rejects half of its work. */
    @Test
    void endpointThatFailsItsWorkIsAdvertisedAsFailing() {
        gatekeeper.endpointAnnounced(4);
        for (int execution = 0; execution < 6; execution++) {
            gatekeeper.offer(work(execution, LOW_RANK), 0);
            ExecutionResult result = execution % 2 == 0 ? ExecutionResult.ANSWERED : ExecutionResult.REJECTED;
            gatekeeper.recordEnd(execution, result, 10, OPERATION, NestedCallStats.NONE, 10);
        }
        assertThat(gatekeeper.advertisedPhase(10)).isEqualTo(EndpointPhase.FAILING);
        assertThat(gatekeeper.offer(work(9, LOW_RANK), 20)).containsExactly(new AdmissionAction.Start(9));
        assertThat(gatekeeper.advertisedPhase(10 + EndpointHealth.MAX_EJECTION_MICROS))
                .isEqualTo(EndpointPhase.SERVING);
    }

    /** Load pattern: nested calls to another service fail, so requests time out although their endpoint is healthy. */
    @Test
    void timeoutInNestedCallsIsNoFaultOfTheEndpoint() {
        gatekeeper.endpointAnnounced(4);
        for (int execution = 0; execution < 6; execution++) {
            gatekeeper.offer(work(execution, LOW_RANK), 0);
            NestedCallStats nestedCalls = new NestedCallStats(5, true);
            gatekeeper.recordEnd(execution, ExecutionResult.TIMED_OUT, 10, OPERATION, nestedCalls, 10);
        }
        assertThat(gatekeeper.advertisedPhase(10)).isEqualTo(EndpointPhase.SERVING);
    }

    @Test
    void evictsLeastImportantWorkFirst() {
        gatekeeper.endpointAnnounced(4);
        fillSlots(1);
        for (int execution = 1; execution <= 4; execution++) {
            gatekeeper.offer(work(execution, LOW_RANK + execution), 0);
        }
        List<AdmissionAction> actions = gatekeeper.offer(work(9, HIGH_RANK), 0);
        assertThat(actions).hasSize(1);
        AdmissionAction.Refuse refusal = (AdmissionAction.Refuse) actions.get(0);
        assertThat(refusal.execution()).isEqualTo(1);
        assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOAD);
    }

    /** Load pattern: overload of one operation, in which later requests of higher rank always overtake a queued one. */
    @Test
    void overtakenRootRequestIsRefusedAfterItsQueueTimeout() {
        gatekeeper.setImportances(List.of(0, 15));
        gatekeeper.endpointAnnounced(1);
        fillSlots(1);
        gatekeeper.recordEnd(1_000, ExecutionResult.ANSWERED, 400_000, OPERATION, NestedCallStats.NONE, 0);
        fillSlots(1);
        gatekeeper.offer(work(1, 0), 0);
        assertThat(gatekeeper.tick(90_000)).isEmpty();
        AdmissionAction.Refuse refusal =
                (AdmissionAction.Refuse) gatekeeper.tick(110_000).get(0);
        assertThat(refusal.execution()).isEqualTo(1);
        assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOAD);
    }

    @Test
    void startsMostImportantWorkNext() {
        gatekeeper.endpointAnnounced(4);
        fillSlots(1);
        gatekeeper.offer(work(1, LOW_RANK), 0);
        gatekeeper.offer(work(2, HIGH_RANK), 0);
        List<AdmissionAction> actions =
                gatekeeper.recordEnd(1_000, ExecutionResult.CANCELLED, 100, OPERATION, NestedCallStats.NONE, 200);
        assertThat(actions).containsExactly(new AdmissionAction.Start(2));
    }

    @Test
    void refusesQueuedWorkWhenEndpointLeaves() {
        gatekeeper.endpointAnnounced(4);
        fillSlots(1);
        gatekeeper.offer(work(1, HIGH_RANK), 0);
        List<AdmissionAction> actions = gatekeeper.changePhase(EndpointPhase.LEAVING, 10);
        assertThat(actions).containsExactly(new AdmissionAction.Refuse(1, RefusalReason.DRAINING, 0));
        assertThat(gatekeeper.recordEnd(1_000, ExecutionResult.ANSWERED, 100, OPERATION, NestedCallStats.NONE, 200))
                .isEmpty();
        assertThat(gatekeeper.offer(work(2, HIGH_RANK), 300))
                .containsExactly(new AdmissionAction.Refuse(2, RefusalReason.DRAINING, 0));
    }

    @Test
    void refusesWorkThatCannotMeetItsDeadline() {
        gatekeeper.endpointAnnounced(4);
        gatekeeper.offer(work(1, HIGH_RANK), 0);
        gatekeeper.recordEnd(1, ExecutionResult.ANSWERED, 100_000, OPERATION, NestedCallStats.NONE, 100_000);
        List<AdmissionAction> actions = gatekeeper.offer(new Work(2, OPERATION, HIGH_RANK, 120_000), 100_000);
        assertThat(actions).containsExactly(new AdmissionAction.Refuse(2, RefusalReason.DEADLINE, 0));
    }

    @Test
    void coldEndpointStartsLowAndReachesItsSlots() {
        gatekeeper.endpointAnnounced(40);
        assertThat(gatekeeper.status().limit()).isEqualTo(10);
        long now = 0;
        for (int execution = 0; execution < 40; execution++) {
            gatekeeper.offer(work(execution, HIGH_RANK), now);
            gatekeeper.recordEnd(execution, ExecutionResult.ANSWERED, 10, OPERATION, NestedCallStats.NONE, now);
        }
        assertThat(gatekeeper.status().limit()).isEqualTo(40);
    }

    @Test
    void rejectionsLowerTheLimitOfAnEndpointThatAnnouncedTooManySlots() {
        gatekeeper.endpointAnnounced(4);
        long now = 1_000_000;
        for (int execution = 0; execution < 10; execution++) {
            gatekeeper.offer(work(execution, HIGH_RANK), now);
            gatekeeper.recordEnd(execution, ExecutionResult.ANSWERED, 10, OPERATION, NestedCallStats.NONE, now);
        }
        int limitBefore = gatekeeper.status().limit();
        gatekeeper.offer(work(50, HIGH_RANK), now);
        gatekeeper.recordEnd(50, ExecutionResult.REJECTED, 10, OPERATION, NestedCallStats.NONE, now);
        assertThat(gatekeeper.status().limit()).isLessThan(limitBefore);
    }

    @Test
    void slowEndpointIsBackAtItsSlotsAfterAFewExecutions() {
        gatekeeper.endpointAnnounced(40);
        long now = 0;
        for (int execution = 0; execution < 200; execution++) {
            now += 100_000;
            gatekeeper.offer(new Work(execution, OPERATION, HIGH_RANK, now + FAR_DEADLINE_MICROS), now);
            gatekeeper.recordEnd(execution, ExecutionResult.TIMED_OUT, 10, OPERATION, NestedCallStats.NONE, now);
        }
        int limitWhenSlow = gatekeeper.status().limit();
        for (int execution = 200; execution < 230; execution++) {
            gatekeeper.offer(new Work(execution, OPERATION, HIGH_RANK, now + FAR_DEADLINE_MICROS), now);
            gatekeeper.recordEnd(execution, ExecutionResult.ANSWERED, 10, OPERATION, NestedCallStats.NONE, now);
        }
        assertThat(limitWhenSlow).isEqualTo(10);
        assertThat(gatekeeper.status().limit()).isEqualTo(40);
    }

    @Test
    void downstreamLevelRefusesEveryOperationThatMakesTheCall() {
        OperationName feed = new OperationName("catalogue", "feed");
        OperationName lookup = new OperationName("catalogue", "lookup");
        gatekeeper.endpointAnnounced(80);
        gatekeeper.recordDownstreamLevel(feed, OPERATION, 0, 0);
        for (int answer = 0; answer < 40; answer++) {
            gatekeeper.recordDownstreamLevel(lookup, OPERATION, HIGH_RANK, 1_000);
        }
        List<AdmissionAction> actions = gatekeeper.offer(new Work(1, feed, LOW_RANK, FAR_DEADLINE_MICROS), 2_000);
        assertThat(actions.get(0)).isInstanceOf(AdmissionAction.Refuse.class);
    }

    @Test
    void nestedWorkIsNeitherRefusedByLevelNorEvictedForRootRequests() {
        gatekeeper.endpointAnnounced(4);
        fillSlots(1);
        for (int answer = 0; answer < 40; answer++) {
            gatekeeper.recordDownstreamLevel(OPERATION, new OperationName("below", "call"), HIGH_RANK, 0);
        }
        assertThat(gatekeeper.offer(new Work(1, OPERATION, LOW_RANK, FAR_DEADLINE_MICROS, true), 0))
                .isEmpty();
        for (int execution = 2; execution <= 20; execution++) {
            for (AdmissionAction action : gatekeeper.offer(work(execution, HIGH_RANK), 0)) {
                assertThat(action.execution()).isNotEqualTo(1);
            }
        }
    }

    /**
     * Guards against an endpoint that refuses all work for good after its host was frozen: the executions that spanned
     * the freeze made the latency estimate exceed every deadline, and refused work does not correct it.
     */
    @Test
    void latencyThatRefusesAllWorkIsEstimatedAnew() {
        long deadlineMicros = 700_000;
        long now = 0;
        gatekeeper.endpointAnnounced(4);
        for (int execution = 0; execution < 20; execution++) {
            gatekeeper.offer(new Work(execution, OPERATION, LOW_RANK, now + FAR_DEADLINE_MICROS), now);
            now += 2_000_000;
            gatekeeper.recordEnd(execution, ExecutionResult.ANSWERED, 2_000_000, OPERATION, NestedCallStats.NONE, now);
        }
        int completed = 0;
        for (int execution = 100; execution < 600; execution++) {
            now += 10_000;
            Work work = new Work(execution, OPERATION, LOW_RANK, now + deadlineMicros);
            if (gatekeeper.offer(work, now).contains(new AdmissionAction.Start(execution))) {
                gatekeeper.recordEnd(execution, ExecutionResult.ANSWERED, 20_000, OPERATION, NestedCallStats.NONE, now);
                completed++;
            }
        }
        assertThat(completed).isAtLeast(300);
    }
}
