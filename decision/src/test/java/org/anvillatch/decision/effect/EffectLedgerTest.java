package org.anvillatch.decision.effect;

import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EffectLedgerTest {
    private static final HostIdentity HOST = new HostIdentity("desk-1", 7);
    private static final String REQUEST = "apply revision 5";

    private final EffectLedger ledger = new EffectLedger(HOST, 3);

    @Test
    void runsAKeyOnce() {
        String key = ledger.issue().toString();
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(Claim.Verdict.RUN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(Claim.Verdict.RUNNING);
        ledger.ended(key, Outcome.COMPLETE);
        Claim third = ledger.claim(key, REQUEST);
        assertThat(third.verdict()).isEqualTo(Claim.Verdict.ENDED);
        assertThat(third.firstOutcome()).isEqualTo(Outcome.COMPLETE);
    }

    @Test
    void runsAgainAfterNotRun() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        ledger.ended(key, Outcome.NOT_RUN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(Claim.Verdict.RUN);
    }

    @Test
    void neverRunsAgainAfterUnknown() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        ledger.ended(key, Outcome.UNKNOWN);
        assertThat(ledger.claim(key, REQUEST).verdict()).isEqualTo(Claim.Verdict.ENDED);
    }

    @Test
    void answersUnknownForAKeyOfAnotherLife() {
        String old = new EffectLedger(new HostIdentity("desk-1", 6), 3).issue().toString();
        assertThat(ledger.claim(old, REQUEST).verdict()).isEqualTo(Claim.Verdict.UNKNOWN);
    }

    @Test
    void answersUnknownForAForgottenKey() {
        String first = ledger.issue().toString();
        ledger.claim(first, REQUEST);
        ledger.ended(first, Outcome.COMPLETE);
        for (int count = 0; count < 3; count++) {
            ledger.issue();
        }
        assertThat(ledger.size()).isEqualTo(3);
        assertThat(ledger.claim(first, REQUEST).verdict()).isEqualTo(Claim.Verdict.UNKNOWN);
    }

    @Test
    void rejectsAKeyThatWasUsedForAnotherRequest() {
        String key = ledger.issue().toString();
        ledger.claim(key, REQUEST);
        assertThat(ledger.claim(key, "another").verdict()).isEqualTo(Claim.Verdict.OTHER_REQUEST);
    }

    @Test
    void rejectsAKeyThatWasNeverIssued() {
        assertThat(ledger.claim(new BoundKey(HOST, 99).toString(), REQUEST).verdict())
                .isEqualTo(Claim.Verdict.NEVER_ISSUED);
    }

    @Test
    void keyTextIsReadBack() {
        BoundKey key = ledger.issue();
        assertThat(BoundKey.parse(key.toString())).hasValue(key);
        assertThat(BoundKey.parse("avk1~~1~1")).isEmpty();
        assertThat(BoundKey.parse("my own key")).isEmpty();
        assertThat(BoundKey.parse("avk1~host~x!~1")).isEmpty();
    }
}
