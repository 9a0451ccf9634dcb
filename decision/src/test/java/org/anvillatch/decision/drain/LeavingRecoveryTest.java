package org.anvillatch.decision.drain;

import java.util.Optional;

import org.anvillatch.decision.drain.LeavingRecovery.Basis;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeavingRecoveryTest {
    private static final long START = 1_000_000_000;
    private static final long NOW = START + 100_000;
    private static final long LONG_UPTIME = EndpointProcesses.MAX_LATENESS_MICROS + (NOW - START);

    private final LeavingRecovery recovery = new LeavingRecovery(START);

    private Optional<Basis> basis() {
        return recovery.basis(NOW);
    }

    /** Guards against hosts that were killed together and confirm to each other that nothing is known. */
    @Test
    void hostsThatStartedTogetherProveNothing() {
        recovery.hostAnswered(NOW - START, NOW);
        recovery.hostAnswered(LONG_UPTIME - 1, NOW);
        recovery.allHostsAnswered();
        assertThat(recovery.hasWitness()).isFalse();
        assertThat(basis()).isEmpty();
    }

    @Test
    void storeSufficesWhenNoOtherHostHasAPast() {
        recovery.storeRead();
        assertThat(basis()).isEmpty();
        recovery.allHostsAnswered();
        assertThat(basis()).hasValue(Basis.STORE);
    }

    /** Guards against endpoints that get no work while hosts that start together search for each other. */
    @Test
    void storeSufficesWhenNoWitnessIsFoundInTime() {
        recovery.storeRead();
        assertThat(recovery.basis(START + LeavingRecovery.MAX_WITNESS_WAIT_MICROS))
                .hasValue(Basis.STORE);
    }

    /** Guards against a witness that was cut off when the leaving was acknowledged, while the store is away. */
    @Test
    void witnessAloneProvesNothing() {
        recovery.hostAnswered(LONG_UPTIME, NOW);
        recovery.allHostsAnswered();
        assertThat(basis()).isEmpty();
    }

    @Test
    void storeAndWitnessAreTheUsualBasis() {
        recovery.storeRead();
        recovery.hostAnswered(LONG_UPTIME, NOW);
        assertThat(basis()).hasValue(Basis.STORE_AND_WITNESS);
    }

    @Test
    void recoveryEndsWhenEarlierReportsHaveArrived() {
        assertThat(recovery.basis(START + EndpointProcesses.MAX_LATENESS_MICROS))
                .hasValue(Basis.TIME);
    }
}
