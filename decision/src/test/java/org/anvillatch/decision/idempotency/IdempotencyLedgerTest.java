package org.anvillatch.decision.idempotency;

import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class IdempotencyLedgerTest {
    private static final HostIdentity HOST = new HostIdentity("desk-1", 7);
    private static final String REQUEST = "apply revision 5";

    private final IdempotencyLedger ledger = new IdempotencyLedger(HOST, 3);

    @Test
    void runsARequestOncePerKey() {
        String key = ledger.issue().toString();
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.RUN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.RUNNING);
        ledger.recordOutcome(key, Outcome.COMPLETE);
        ClaimResult third = ledger.claim(key, REQUEST);
        assertThat(third.verdict()).isEqualTo(ClaimResult.Verdict.ENDED);
        assertThat(third.firstOutcome()).isEqualTo(Outcome.COMPLETE);
    }

    @Test
    void runsAgainAfterNotRun() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        ledger.recordOutcome(key, Outcome.NOT_RUN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.RUN);
    }

    @Test
    void neverRunsAgainAfterUnknown() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        ledger.recordOutcome(key, Outcome.UNKNOWN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.ENDED);
    }

    @Test
    void answersUnknownForAKeyOfAnotherIncarnation() {
        String keyOfEarlierIncarnation =
                new IdempotencyLedger(new HostIdentity("desk-1", 6), 3).issue().toString();
        assertThat(ledger.claim(keyOfEarlierIncarnation, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.UNKNOWN);
    }

    @Test
    void answersUnknownForAnEvictedKey() {
        String first = ledger.issue().toString();
        ledger.claim(first, REQUEST);
        ledger.recordOutcome(first, Outcome.COMPLETE);
        for (int count = 0; count < 3; count++) {
            ledger.issue();
        }
        assertThat(ledger.size()).isEqualTo(3);
        assertThat(ledger.claim(first, REQUEST).verdict()).isEqualTo(ClaimResult.Verdict.UNKNOWN);
    }

    @Test
    void rejectsAKeyThatWasUsedForAnotherRequest() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        assertThat(ledger.claim(key, "another").verdict()).isEqualTo(ClaimResult.Verdict.OTHER_REQUEST);
    }

    @Test
    void rejectsAKeyThatWasNeverIssued() {
        assertThat(ledger.claim(new IssuedKey(HOST, 99).toString(), REQUEST).verdict())
                .isEqualTo(ClaimResult.Verdict.NEVER_ISSUED);
    }

    @Test
    void textOfAKeyIsParsed() {
        IssuedKey key = ledger.issue();
        assertThat(IssuedKey.parse(key.toString())).hasValue(key);
        assertThat(IssuedKey.parse("avk1~~1~1")).isEmpty();
        assertThat(IssuedKey.parse("my own key")).isEmpty();
        assertThat(IssuedKey.parse("avk1~host~x!~1")).isEmpty();
    }
}
