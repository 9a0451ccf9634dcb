package org.anvillatch.decision.idempotency;

import java.util.List;

import org.anvillatch.decision.model.HostIdentity;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyClaimsTest {
    private static final HostIdentity FIRST = new HostIdentity("a", 1);
    private static final HostIdentity SECOND = new HostIdentity("b", 1);
    private static final long NOW = 1_796_361_221_870L;

    private final KeyClaims claims = new KeyClaims(3);

    private static KeyClaims.ClaimRecord claim(HostIdentity owner, long millis, String... keys) {
        return new KeyClaims.ClaimRecord(owner, millis, List.of(keys), 0);
    }

    @Test
    void firstClaimOwnsTheKey() {
        claims.addRecord(0, claim(FIRST, NOW, "k"));
        claims.addRecord(1, claim(SECOND, NOW, "k", "l"));
        assertThat(claims.ownerOf("k")).hasValue(FIRST);
        assertThat(claims.ownerOf("l")).hasValue(SECOND);
        assertThat(claims.isTooOld(0)).isFalse();
    }

    @Test
    void keyThatMayHaveBeenClaimedInADroppedRecordIsTooOld() {
        claims.addRecord(5, claim(FIRST, NOW, "k"));
        assertThat(claims.isTooOld(NOW - 1)).isTrue();
        assertThat(claims.isTooOld(NOW + KeyClaims.MAX_CLOCK_SKEW_MILLIS)).isFalse();
    }

    @Test
    void evictedKeysAreTooOld() {
        claims.addRecord(0, claim(FIRST, NOW, "k1", "k2"));
        claims.addRecord(1, claim(FIRST, NOW + 1, "k3", "k4"));
        assertThat(claims.ownerOf("k1")).isEmpty();
        assertThat(claims.isTooOld(NOW - 1)).isTrue();
    }

    /** Guards against a second claim of a key whose first claim the restored log does not have. */
    @Test
    void keyThatMayBeOlderThanARestoreIsTooOld() {
        claims.startHistory(1);
        claims.markCaughtUp(NOW);
        assertThat(claims.isTooOld(NOW - 1)).isTrue();
        assertThat(claims.isTooOld(NOW + KeyClaims.MAX_CLOCK_SKEW_MILLIS)).isFalse();
        claims.markCaughtUp(NOW + 1_000);
        assertThat(claims.isTooOld(NOW + KeyClaims.MAX_CLOCK_SKEW_MILLIS)).isFalse();
    }

    @Test
    void firstRecordAfterARestoreBoundsItsTime() {
        claims.startHistory(1);
        claims.addRecord(0, claim(FIRST, NOW - 10_000, "k"));
        claims.addRecord(1, new KeyClaims.ClaimRecord(SECOND, NOW, List.of("l"), 1));
        claims.markCaughtUp(NOW + 5_000);
        assertThat(claims.isTooOld(NOW - 1)).isTrue();
        assertThat(claims.isTooOld(NOW + KeyClaims.MAX_CLOCK_SKEW_MILLIS)).isFalse();
    }

    @Test
    void ownersThatTheRestoredLogDoesNotHaveStay() {
        claims.addRecord(0, claim(FIRST, NOW, "k"));
        claims.startHistory(1);
        claims.addRecord(0, new KeyClaims.ClaimRecord(SECOND, NOW, List.of("k"), 1));
        assertThat(claims.ownerOf("k")).hasValue(FIRST);
        assertThat(claims.nextOffset()).isEqualTo(1);
    }

    @Test
    void creationTimeOfAKeyIsParsed() {
        assertThat(UuidV7Key.timeMillis("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").getAsLong())
                .isEqualTo(1_645_557_742_000L);
        assertThat(UuidV7Key.timeMillis("6ba7b810-9dad-41d1-80b4-00c04fd430c8").isEmpty())
                .isTrue();
    }
}
