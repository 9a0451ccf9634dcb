package org.anvillatch.decision.drain;

import org.anvillatch.decision.model.OperationName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class UsualTimesTest {
    private static final OperationName READ = new OperationName("desk", "read");
    private final UsualTimes times = new UsualTimes();

    /** Guards against calls that are accepted late in a planned stop and cut at its end (review/4). */
    @Test
    void callMustEndByItsDeadlineOrItsUsualTime() {
        assertThat(times.endsBy(READ, 900, 0, 1_000, false)).isTrue();
        assertThat(times.endsBy(READ, 1_100, 0, 1_000, false)).isFalse();
        assertThat(times.endsBy(READ, 1_100, 0, 1_000, true)).isTrue();
        for (int call = 0; call < 100; call++) {
            times.add(READ, 400);
        }
        assertThat(times.endsBy(READ, 9_000, 0, 1_000, false)).isTrue();
        assertThat(times.endsBy(READ, 9_000, 700, 1_000, true)).isFalse();
    }

    @Test
    void usualTimeCoversTheSpread() {
        for (int call = 0; call < 1_000; call++) {
            times.add(READ, call % 2 == 0 ? 100 : 300);
        }
        assertThat(times.micros(READ).getAsLong()).isAtLeast(300);
        assertThat(times.micros(READ).getAsLong()).isAtMost(700);
    }
}
