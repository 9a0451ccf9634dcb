package org.anvillatch.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: an endpoint with free slots names a limit on its requests per second that is below the demand. */
class RateLimitTest {
    private static final OperationName OPERATION = new OperationName("catalogue", "list");
    private static final int SLOTS = 92;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STEP_MICROS = 1_000;
    private static final long DURATION_MICROS = 100_000;

    /** Window and tolerance of the platform's rule for the number of requests that a limited endpoint gets. */
    private static final int WINDOW_SECONDS = 4;

    private static final double TOLERATED_FACTOR = 1.5;
    private static final int TOLERATED_REQUESTS = 5;

    private final Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
    private final Map<Long, Integer> ranks = new HashMap<>();
    private final ArrayDeque<Long> runningUntil = new ArrayDeque<>();
    private final ArrayDeque<Long> running = new ArrayDeque<>();
    private final List<Long> startedMicros = new ArrayList<>();
    private int[] refusedByImportance = new int[Rank.IMPORTANCE_LEVELS];
    private int[] startedByImportance = new int[Rank.IMPORTANCE_LEVELS];
    private long nextExecution = 1;
    private long now;

    private static EndpointNotice notice(double perSecond) {
        return new EndpointNotice("i", perSecond, false);
    }

    private void perform(List<AdmissionAction> actions) {
        for (AdmissionAction action : actions) {
            int importance = Rank.importance(ranks.get(action.execution()));
            if (action instanceof AdmissionAction.Start) {
                startedByImportance[importance]++;
                startedMicros.add(now);
                running.add(action.execution());
                runningUntil.add(now + DURATION_MICROS);
            } else {
                refusedByImportance[importance]++;
            }
        }
    }

    private void offer(int importance) {
        long execution = nextExecution++;
        int rank = Rank.of(importance, "request" + execution);
        ranks.put(execution, rank);
        perform(gatekeeper.offer(new Work(execution, OPERATION, rank, now + SECOND_MICROS), now));
    }

    /** Offers requests at a steady rate; each answer names the limit. */
    private void run(long micros, int offeredPerSecond, double limitPerSecond) {
        for (long end = now + micros; now < end; now += STEP_MICROS) {
            while (!runningUntil.isEmpty() && runningUntil.peek() <= now) {
                runningUntil.remove();
                gatekeeper.recordNotice(notice(limitPerSecond), now);
                perform(gatekeeper.recordEnd(
                        running.remove(),
                        ExecutionResult.ANSWERED,
                        DURATION_MICROS,
                        OPERATION,
                        NestedCallStats.NONE,
                        now));
            }
            if (now % (SECOND_MICROS / offeredPerSecond) < STEP_MICROS) {
                offer(nextExecution % 2 == 0 ? 15 : 2);
            }
            if (now % 10_000 == 0 && gatekeeper.needsTick()) {
                perform(gatekeeper.tick(now));
            }
        }
    }

    private int mostStartsInAWindowSince(long fromMicros) {
        int most = 0;
        for (long start : startedMicros) {
            if (start >= fromMicros) {
                long end = start + WINDOW_SECONDS * SECOND_MICROS;
                most = Math.max(most, (int) startedMicros.stream()
                        .filter(at -> at >= start && at < end)
                        .count());
            }
        }
        return most;
    }

    /** Guards against an endpoint that gets far more requests than the limit in its answers (rule LIMIT, issue #26). */
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.3, 2.5, 24.2, 150.0})
    void startsNoMoreThanTheNamedLimit(double limit) {
        gatekeeper.endpointAnnounced(SLOTS);
        run(2 * SECOND_MICROS, 250, Double.POSITIVE_INFINITY);
        gatekeeper.recordNotice(notice(limit), now);
        long named = now;
        run(12 * SECOND_MICROS, 250, limit);
        assertThat((double) mostStartsInAWindowSince(named))
                .isAtMost(TOLERATED_FACTOR * limit * WINDOW_SECONDS + TOLERATED_REQUESTS);
    }

    /** The limit is also used: whoever could be served is not refused. */
    @Test
    void startsAsManyAsTheLimitPermits() {
        gatekeeper.endpointAnnounced(SLOTS);
        gatekeeper.recordNotice(notice(24), now);
        run(10 * SECOND_MICROS, 250, 24);
        assertThat(startedMicros.size()).isAtLeast(9 * 24);
    }

    /** Guards against refusals out of order while the limit binds. */
    @Test
    void refusesTheLeastImportantFirst() {
        gatekeeper.endpointAnnounced(SLOTS);
        gatekeeper.recordNotice(notice(60), now);
        run(2 * SECOND_MICROS, 100, 60);
        refusedByImportance = new int[Rank.IMPORTANCE_LEVELS];
        startedByImportance = new int[Rank.IMPORTANCE_LEVELS];
        run(8 * SECOND_MICROS, 100, 60);
        assertThat(refusedByImportance[15]).isEqualTo(0);
        assertThat(refusedByImportance[2]).isGreaterThan(0);
        assertThat(startedByImportance[2]).isGreaterThan(0);
    }

    /** Guards against a limit that outlasts the endpoint's need, or ends because one answer lacks it. */
    @Test
    void endsWhenAnswersCeaseToNameIt() {
        gatekeeper.endpointAnnounced(SLOTS);
        gatekeeper.recordNotice(notice(3), now);
        run(2 * SECOND_MICROS, 100, 3);
        gatekeeper.recordNotice(EndpointNotice.unrestricted("i"), now);
        int before = startedMicros.size();
        run(SECOND_MICROS, 100, 3);
        assertThat(startedMicros.size() - before).isAtMost(5);
        run(2 * SECOND_MICROS, 100, Double.POSITIVE_INFINITY);
        before = startedMicros.size();
        run(2 * SECOND_MICROS, 100, Double.POSITIVE_INFINITY);
        assertThat(startedMicros.size() - before).isAtLeast(180);
    }

    @Test
    void newProcessOfTheEndpointHasNoLimit() {
        gatekeeper.endpointAnnounced(SLOTS);
        gatekeeper.recordNotice(notice(0), now);
        gatekeeper.endpointAnnounced(SLOTS);
        for (int request = 0; request < 10; request++) {
            offer(3);
        }
        assertThat(startedMicros).hasSize(10);
    }
}
