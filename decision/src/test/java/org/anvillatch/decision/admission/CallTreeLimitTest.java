package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: the call trees of many callers depend on one downstream service, which is overloaded and recovers. */
class CallTreeLimitTest {
    private static final int SLOTS = 92;
    private static final long DURATION_MICROS = 400_000;

    private long now;

    private void endRequests(CallTreeLimit limit, int requests, double waitRatio, double importance) {
        long waitMicros = (long) (DURATION_MICROS * waitRatio / (1 + waitRatio));
        for (int index = 0; index < requests; index++) {
            now += DURATION_MICROS / limit.limit();
            limit.recordEnd(limit.limit(), DURATION_MICROS, new NestedCallStats(waitMicros, false), importance, now);
        }
    }

    /** Load pattern: a burst after a period of low load, for example after an outage that delayed requests. */
    @Test
    void limitHasNoEffectWhileCallsDoNotWait() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        for (int index = 0; index < SLOTS; index++) {
            limit.recordEnd(1, DURATION_MICROS, NestedCallStats.NONE, 0, now);
        }
        assertThat(limit.limit()).isEqualTo(SLOTS);
    }

    @Test
    void limitDecreasesFromTheNumberOfRunningRequests() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        endRequests(limit, SLOTS, 0, 0);
        for (int index = 0; index < 10; index++) {
            limit.recordEnd(20, DURATION_MICROS, new NestedCallStats(DURATION_MICROS / 2, false), 0, now);
        }
        assertThat(limit.limit()).isEqualTo(17);
    }

    @Test
    void lessImportantCallTreesAreLimitedFirst() {
        CallTreeLimit lessImportant = new CallTreeLimit(SLOTS);
        CallTreeLimit moreImportant = new CallTreeLimit(SLOTS);
        double waitRatioBetween = (CallTreeLimit.MIN_WAIT_RATIO + CallTreeLimit.MAX_WAIT_RATIO) / 2;
        endRequests(lessImportant, 2_000, waitRatioBetween, 0);
        endRequests(moreImportant, 2_000, waitRatioBetween, 1);
        assertThat(lessImportant.limit()).isEqualTo(CallTreeLimit.MIN_LIMIT);
        assertThat(moreImportant.limit()).isEqualTo(SLOTS);
    }

    @Test
    void refusedCallCountsAsLongWait() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        endRequests(limit, SLOTS, 0, 1);
        for (int index = 0; index < 2_000; index++) {
            now += DURATION_MICROS / limit.limit();
            limit.recordEnd(limit.limit(), DURATION_MICROS, NestedCallStats.NONE.plus(0, index % 3 == 0), 1, now);
        }
        assertThat(limit.limit()).isLessThan(SLOTS / 4);
    }

    @Test
    void limitGrowsAgainAfterAnOverload() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        endRequests(limit, 500, 1, 0);
        int limitInOverload = limit.limit();
        endRequests(limit, 2_000, 0, 0);
        assertThat(limitInOverload).isLessThan(10);
        assertThat(limit.limit()).isGreaterThan(SLOTS / 2);
    }

    /** Load pattern: both operations of an endpoint get more requests than their limits on call trees allow. */
    @Test
    void importantWorkIsNotQueuedWhileLessImportantWorkStarts() {
        CallTreeLimits limits = new CallTreeLimits();
        limits.reset(8);
        OperationName feed = new OperationName("front", "feed");
        OperationName write = new OperationName("front", "write");
        long execution = 0;
        Work lessImportant = new Work(execution, feed, Rank.of(1, "feed"), DURATION_MICROS);
        assertThat(limits.admits(lessImportant)).isTrue();
        Work important = new Work(++execution, write, Rank.of(2, "write"), DURATION_MICROS);
        while (limits.admits(important)) {
            limits.recordStart(important);
            important = new Work(++execution, write, Rank.of(2, "write"), DURATION_MICROS);
        }
        assertThat(limits.admits(lessImportant)).isFalse();
        limits.recordEnd(1, write, ExecutionResult.ANSWERED, DURATION_MICROS, NestedCallStats.NONE, 1);
        assertThat(limits.admits(important)).isTrue();
    }
}
