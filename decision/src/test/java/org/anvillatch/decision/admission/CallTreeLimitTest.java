package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: many callers of a tree whose calls meet one scarce service below, which is overloaded and recovers. */
class CallTreeLimitTest {
    private static final int SLOTS = 92;
    private static final long DURATION_MICROS = 400_000;

    private long now;

    private void end(CallTreeLimit limit, int requests, double waitShare, double importance) {
        long waited = (long) (DURATION_MICROS * waitShare / (1 + waitShare));
        for (int index = 0; index < requests; index++) {
            now += DURATION_MICROS / limit.limit();
            limit.ended(limit.limit(), DURATION_MICROS, new NestedCallStats(waited, false), importance, now);
        }
    }

    /** Load pattern: a burst after a calm time, as after an outage that held requests back. */
    @Test
    void limitDoesNotBindWhileCallsDoNotWait() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        for (int index = 0; index < SLOTS; index++) {
            limit.ended(1, DURATION_MICROS, NestedCallStats.NONE, 0, now);
        }
        assertThat(limit.limit()).isEqualTo(SLOTS);
    }

    @Test
    void limitFallsFromWhatRuns() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        end(limit, SLOTS, 0, 0);
        for (int index = 0; index < 10; index++) {
            limit.ended(20, DURATION_MICROS, new NestedCallStats(DURATION_MICROS / 2, false), 0, now);
        }
        assertThat(limit.limit()).isEqualTo(17);
    }

    @Test
    void lessImportantTreesGiveWayToMoreImportantOnes() {
        CallTreeLimit lesser = new CallTreeLimit(SLOTS);
        CallTreeLimit greater = new CallTreeLimit(SLOTS);
        double between = (CallTreeLimit.LEAST_WAIT + CallTreeLimit.MOST_WAIT) / 2;
        end(lesser, 2_000, between, 0);
        end(greater, 2_000, between, 1);
        assertThat(lesser.limit()).isEqualTo(CallTreeLimit.LEAST);
        assertThat(greater.limit()).isEqualTo(SLOTS);
    }

    @Test
    void refusedCallCountsAsLongWait() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        end(limit, SLOTS, 0, 1);
        for (int index = 0; index < 2_000; index++) {
            now += DURATION_MICROS / limit.limit();
            limit.ended(limit.limit(), DURATION_MICROS, NestedCallStats.NONE.plus(0, index % 3 == 0), 1, now);
        }
        assertThat(limit.limit()).isLessThan(SLOTS / 4);
    }

    @Test
    void limitGrowsAgainAfterTheOverload() {
        CallTreeLimit limit = new CallTreeLimit(SLOTS);
        end(limit, 500, 1, 0);
        int overloaded = limit.limit();
        end(limit, 2_000, 0, 0);
        assertThat(overloaded).isLessThan(10);
        assertThat(limit.limit()).isGreaterThan(SLOTS / 2);
    }

    /** Load pattern: both operations of an endpoint are asked for more than their trees may run. */
    @Test
    void importantWorkIsNotHeldBackWhileLesserWorkBegins() {
        CallTreeLimits trees = new CallTreeLimits();
        trees.reset(8);
        OperationName feed = new OperationName("front", "feed");
        OperationName write = new OperationName("front", "write");
        long execution = 0;
        Work lesser = new Work(execution, feed, Rank.of(1, "feed"), DURATION_MICROS);
        assertThat(trees.admits(lesser)).isTrue();
        Work important = new Work(++execution, write, Rank.of(2, "write"), DURATION_MICROS);
        while (trees.admits(important)) {
            trees.begin(important);
            important = new Work(++execution, write, Rank.of(2, "write"), DURATION_MICROS);
        }
        assertThat(trees.admits(lesser)).isFalse();
        trees.ended(1, write, ExecutionResult.ANSWERED, DURATION_MICROS, NestedCallStats.NONE, 1);
        assertThat(trees.admits(important)).isTrue();
    }
}
