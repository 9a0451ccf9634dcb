package org.anvillatch.decision.quarantine;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTest {
    private final CrashSuspects suspects = new CrashSuspects();

    @Test
    void requestIsQuarantinedAfterTheSecondCrash() {
        suspects.add(new CrashSuspects.Suspicion("poison", "host-a/1"));
        assertThat(suspects.isSuspect("poison")).isTrue();
        assertThat(suspects.isQuarantined("poison")).isFalse();
        suspects.add(new CrashSuspects.Suspicion("poison", "host-b/1"));
        assertThat(suspects.isQuarantined("poison")).isTrue();
    }

    @Test
    void crashReceivedTwiceCountsOnce() {
        CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion("poison", "host-a/1");
        assertThat(suspects.add(suspicion)).isTrue();
        assertThat(suspects.add(suspicion)).isFalse();
        assertThat(suspects.isQuarantined("poison")).isFalse();
    }

    @Test
    void releaseEndsTheQuarantine() {
        suspects.add(new CrashSuspects.Suspicion("poison", "host-a/1"));
        suspects.add(new CrashSuspects.Suspicion("poison", "host-b/1"));
        suspects.release(Set.of("poison"));
        assertThat(suspects.isQuarantined("poison")).isFalse();
    }

    @Test
    void numberOfStoredRequestsIsBounded() {
        for (int index = 0; index < CrashSuspects.MAX_FINGERPRINTS + 10; index++) {
            suspects.add(new CrashSuspects.Suspicion("request-" + index, "host/1"));
        }
        assertThat(suspects.all()).hasSize(CrashSuspects.MAX_FINGERPRINTS);
    }
}
