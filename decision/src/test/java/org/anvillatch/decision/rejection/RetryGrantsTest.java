package org.anvillatch.decision.rejection;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryGrantsTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 5;
    private static final int RANK = 1_900;
    private static final long GAP_MICROS = 10_000;

    private final RetryGrants grants = new RetryGrants(RATIO, () -> SLACK);
    private long now = 1_000_000;
    private long nextExecution;

    @BeforeEach
    void rejectAtAllEndpoints() {
        grants.recordScope(true);
    }

    private void arrive(CallStart start) {
        now += GAP_MICROS;
        grants.recordArrival(start, RANK, now);
    }

    private boolean reject(int completedCalls, int rank, long holdMicros) {
        CallProgress progress = new CallProgress(CallStart.FIRST, completedCalls, false);
        return grants.recordRejected(nextExecution++, new RejectedCall(progress, rank, true, now + holdMicros), now);
    }

    /** Guards against more retries than the bound permits, also if senders pay for some of them. */
    @Test
    void retriesStayWithinTheBound() {
        int granted = 0;
        int paidBySenders = 0;
        int arrivals = 2_000;
        for (int arrival = 0; arrival < arrivals; arrival++) {
            arrive(CallStart.FIRST);
            if (arrival % 20 == 0) {
                arrive(CallStart.RETRY);
                paidBySenders++;
            }
            reject(0, RANK, 100_000);
            for (RetryGrants.Release release : grants.release(now)) {
                granted += release.granted() ? 1 : 0;
            }
        }
        assertThat(granted).isGreaterThan(0);
        assertThat(granted + paidBySenders).isAtMost((int) (RATIO * arrivals + SLACK));
    }

    /** Guards against retries that take each tree a little further instead of completing one. */
    @Test
    void treeThatIsFurthestAdvancedGetsTheNextRetry() {
        for (int count = 0; count < 3; count++) {
            reject(0, RANK, 10_000_000);
        }
        reject(4, RANK, 10_000_000);
        List<Long> released = new ArrayList<>();
        while (released.isEmpty()) {
            arrive(CallStart.FIRST);
            grants.release(now).forEach(release -> released.add(release.execution()));
        }
        assertThat(released).containsExactly(nextExecution - 1);
    }

    /** Guards against calls that are held, or retries that are withheld, because of a single failing endpoint. */
    @Test
    void nothingIsHeldWhileOnlySomeEndpointsReject() {
        grants.recordScope(false);
        for (int count = 0; count < 20; count++) {
            arrive(CallStart.FIRST);
            assertThat(reject(0, RANK, 100_000)).isFalse();
        }
        assertThat(grants.isActive(now)).isFalse();
    }

    /** Guards against held calls that are never answered, and against decisions that outlast the rejections. */
    @Test
    void heldCallsAreReleasedWhenTheRejectionsEnd() {
        for (int count = 0; count < 10; count++) {
            arrive(CallStart.FIRST);
            reject(0, RANK, 10_000_000);
        }
        int held = grants.held();
        assertThat(held).isGreaterThan(0);
        long endedMicros = now;
        int released = 0;
        while (grants.isActive(now)) {
            now += GAP_MICROS;
            grants.recordAccepted(now);
            released += grants.release(now).size();
        }
        assertThat(now - endedMicros).isLessThan(1_000_000L);
        assertThat(released + grants.release(now).size()).isEqualTo(held);
        assertThat(grants.held()).isEqualTo(0);
    }
}
