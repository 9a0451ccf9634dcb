package org.anvillatch.testbed.history;

import java.util.ArrayList;
import java.util.List;

import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Checks for every guarantee that the checker reports a violation and accepts the closest allowed history. */
class HistoryCheckerTest {
    private static final int RETRY_BOUND = 2;

    private final List<HistoryEvent> events = new ArrayList<>();

    private static HistoryEvent event(
            long atMicros, Kind kind, String place, String root, String path, String outcome, String reason) {
        return new HistoryEvent(
                atMicros,
                kind,
                place,
                root,
                0,
                path,
                path + "@" + place,
                "back/read",
                root.charAt(0) - '0',
                outcome,
                reason,
                null,
                true);
    }

    private void start(long atMicros, String place, String root) {
        events.add(event(atMicros, Kind.START, place, root, root, null, null));
    }

    private void answer(long atMicros, String root, String outcome, String reason) {
        events.add(event(atMicros, Kind.ANSWER, "caller", root, root, outcome, reason));
    }

    private List<String> violatedPromises() {
        return new HistoryChecker(events, RETRY_BOUND)
                .check().violations().stream()
                        .map(HistoryChecker.Violation::promise)
                        .toList();
    }

    @Test
    void reportsTooManyRetries() {
        for (int execution = 0; execution <= RETRY_BOUND; execution++) {
            start(execution, "back-" + execution, "1-a");
        }
        assertThat(violatedPromises()).isEmpty();
        start(10, "back-9", "1-a");
        assertThat(violatedPromises()).containsExactly("retries within the bound");
    }

    @Test
    void reportsDuplicateEffect() {
        HistoryEvent effect = new HistoryEvent(
                1, Kind.START, "back-0", "2-a", 0, "2-a", "x", "back/write", 2, null, null, "revision 5", true);
        events.add(effect);
        assertThat(violatedPromises()).isEmpty();
        events.add(effect);
        assertThat(violatedPromises()).containsExactly("at most once");
    }

    @Test
    void reportsForeignAnswer() {
        events.add(new HistoryEvent(
                1, Kind.ANSWER, "caller", "1-a", 0, "1-a", null, "back/read", 1, "complete", null, null, false));
        assertThat(violatedPromises()).containsExactly("complete answer to its own caller");
    }

    @Test
    void reportsNotRunAnswerAlsoIfExecutionStartsLater() {
        answer(1, "1-a", "not-run", "draining");
        assertThat(violatedPromises()).isEmpty();
        start(2_000_000, "back-0", "1-a");
        assertThat(violatedPromises()).containsExactly("not run is true");
    }

    @Test
    void reportsNewWorkAfterLeave() {
        events.add(HistoryEvent.lifecycle(0, Kind.LEAVE, "back-0", "back"));
        start(HistoryChecker.MAX_WORK_AFTER_LEAVE_MICROS, "back-0", "1-a");
        assertThat(violatedPromises()).isEmpty();
        start(HistoryChecker.MAX_WORK_AFTER_LEAVE_MICROS + 1, "back-0", "1-b");
        assertThat(violatedPromises()).containsExactly("no new work after leaving");
    }

    @Test
    void acceptsWorkAfterNewAnnouncement() {
        events.add(HistoryEvent.lifecycle(0, Kind.LEAVE, "back-0", "back"));
        events.add(HistoryEvent.lifecycle(1_000, Kind.ANNOUNCE, "back-0", "back"));
        start(HistoryChecker.MAX_WORK_AFTER_LEAVE_MICROS * 2, "back-0", "1-a");
        assertThat(violatedPromises()).isEmpty();
    }

    @Test
    void reportsImportantCallRefusedWhileLessImportantCallsKeepStarting() {
        long refusedAt = 10_000_000;
        answer(refusedAt, "2-important", "not-run", "overload");
        start(refusedAt - HistoryChecker.ORDER_TOLERANCE_MICROS + 1, "back-0", "1-a");
        start(refusedAt - 1, "back-0", "1-b");
        assertThat(violatedPromises()).isEmpty();
        start(refusedAt + 1, "back-0", "1-c");
        assertThat(violatedPromises()).containsExactly("important work refused last");
    }

    @Test
    void acceptsLessImportantCallsOfAnotherService() {
        long refusedAt = 10_000_000;
        answer(refusedAt, "2-important", "not-run", "overload");
        for (long at : new long[] {-400_000, -1, 1}) {
            events.add(new HistoryEvent(
                    refusedAt + at,
                    Kind.START,
                    "other-0",
                    "1-a" + at,
                    0,
                    "1-a" + at,
                    "x",
                    "other/read",
                    1,
                    null,
                    null,
                    null,
                    true));
        }
        assertThat(violatedPromises()).isEmpty();
    }

    @Test
    void reportsThirdEndpointCrashedByOneRequest() {
        for (int execution = 0; execution < HistoryChecker.MAX_CRASHES_PER_REQUEST; execution++) {
            events.add(event(execution, Kind.POISON, "back-" + execution, "1-a", "1-a", null, null));
        }
        assertThat(violatedPromises()).isEmpty();
        events.add(event(9, Kind.POISON, "back-9", "1-a", "1-a", null, null));
        assertThat(violatedPromises()).containsExactly("endpoints lost to one request");
    }

    @Test
    void countsOutcomesByLastAnswer() {
        answer(1, "1-a", "not-run", "draining");
        answer(2, "1-a", "complete", null);
        answer(3, "1-b", "unknown", null);
        events.add(event(4, Kind.INVOKE, "caller", "1-c", "1-c", null, null));
        HistoryChecker.Verdict verdict = new HistoryChecker(events, RETRY_BOUND).check();
        assertThat(verdict.roots()).isEqualTo(3);
        assertThat(verdict.whole()).isEqualTo(1);
        assertThat(verdict.unknown()).isEqualTo(2);
    }
}
