package org.anvillatch.node.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.platform.FakeLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyClaimServiceTest {
    private static final HostIdentity SELF = new HostIdentity("desk-1", 7);
    private static final String KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    private static final String OTHER_KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c073990";
    private static final long TIMEOUT_MICROS = 300_000;
    private static final long MAX_WAIT_SECONDS = 20;

    private final DecisionLoop loop = new DecisionLoop();
    private final FakeLog log = new FakeLog();
    private final KeyClaimService claims = new KeyClaimService(
            loop, SELF, new IdempotencyLedger(SELF, IdempotencyLedger.MAX_KEYS), log, new MetricRegistry());

    @BeforeEach
    void startLoop() {
        loop.start();
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    private KeyClaimService.Resolution resolve() throws Exception {
        return resolve(claims);
    }

    private KeyClaimService.Resolution resolve(KeyClaimService service) throws Exception {
        CompletableFuture<KeyClaimService.Resolution> result = new CompletableFuture<>();
        loop.execute(() -> service.resolve(
                KEY, loop.nowMicros() + TIMEOUT_MICROS, (resolution, owner) -> result.complete(resolution)));
        return result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void claimsKeyOnceAndFindsItsOwnerAgain() throws Exception {
        assertThat(resolve()).isEqualTo(KeyClaimService.Resolution.OWNED);
        assertThat(resolve()).isEqualTo(KeyClaimService.Resolution.OWNED);
        assertThat(log.entries()).hasSize(1);
    }

    /** Guards against a write that runs twice because the restored log does not have the claim of its key. */
    @Test
    void keyWhoseClaimTheRestoredLogDoesNotHaveIsNotClaimedAgain() throws Exception {
        assertThat(resolve()).isEqualTo(KeyClaimService.Resolution.OWNED);
        log.restore(0);
        HostIdentity other = new HostIdentity("desk-2", 8);
        KeyClaimService otherClaims = new KeyClaimService(
                loop, other, new IdempotencyLedger(other, IdempotencyLedger.MAX_KEYS), log, new MetricRegistry());
        assertThat(resolve(otherClaims)).isEqualTo(KeyClaimService.Resolution.TOO_OLD);
    }

    /** Guards against a claim that was decided before a restore and is appended after it, to the new history. */
    @Test
    void claimThatWaitsForItsAppendDuringARestoreIsDropped() throws Exception {
        CompletableFuture<KeyClaimService.Resolution> first = new CompletableFuture<>();
        CompletableFuture<KeyClaimService.Resolution> second = new CompletableFuture<>();
        loop.execute(() -> {
            long deadlineMicros = loop.nowMicros() + TIMEOUT_MICROS;
            claims.resolve(KEY, deadlineMicros, (resolution, owner) -> first.complete(resolution));
            // Runs after the result of the read, in which the claim is decided, and before its append.
            loop.execute(() -> {
                log.restore(0);
                claims.resolve(OTHER_KEY, deadlineMicros, (resolution, owner) -> second.complete(resolution));
            });
        });
        assertThat(first.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(KeyClaimService.Resolution.TOO_OLD);
        assertThat(second.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(KeyClaimService.Resolution.TOO_OLD);
        CompletableFuture<Void> afterTheBatchDelay = new CompletableFuture<>();
        loop.schedule(TIMEOUT_MICROS, () -> afterTheBatchDelay.complete(null));
        afterTheBatchDelay.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(log.entries()).isEmpty();
    }

    @Test
    void claimsKeyAgainAfterItsAppendWasLost() throws Exception {
        log.loseNextAppend();
        assertThat(resolve()).isEqualTo(KeyClaimService.Resolution.NOT_CLAIMED);
        assertThat(resolve()).isEqualTo(KeyClaimService.Resolution.OWNED);
    }
}
