package org.anvillatch.decision.admission;

import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Load pattern: one endpoint of eight starts, recovers or was slow, or all are replaced one after another. Guards against
 * an endpoint that is left idle when it could work.
 */
class PaceTest {
    private static final int SEEDS = 2;

    /** Time beyond that of perfect knowledge after which an endpoint carries its share, in seconds. */
    private static final double MAX_DELAY_SECONDS = 1;

    static Stream<PaceModel.Case> cases() {
        return Stream.of(
                new PaceModel.Case("cold", 0.7, true, false, false, time -> time < 3 ? 2 : 1),
                new PaceModel.Case("cold, shared processors", 0.7, true, false, true, time -> time < 3 ? 2 : 1),
                new PaceModel.Case("very cold", 0.7, true, false, true, time -> time < 3 ? 4 : 1),
                new PaceModel.Case("recovered", 0.7, true, false, false, time -> 1),
                new PaceModel.Case("fast again", 0.7, false, false, false, time -> time >= 0 && time <= 5 ? 4 : 1),
                new PaceModel.Case("others full", 1.1, true, false, true, time -> time < 3 ? 2 : 1),
                new PaceModel.Case("replaced", 0.7, false, true, true, time -> time >= 0 && time < 3 ? 2 : 1));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void endpointCarriesItsShareSoonAfterPerfectKnowledgeWouldGiveIt(PaceModel.Case scenario) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            PaceModel model = new PaceModel(seed, scenario, PaceModel.Policy.DECISION).run();
            PaceModel oracle = new PaceModel(seed, scenario, PaceModel.Policy.ORACLE).run();
            String figures = "%s: fair share after %.2f s, oracle %.2f s; past target %.4f, oracle %.4f"
                    .formatted(
                            scenario.name(),
                            model.secondsToFairShare(),
                            oracle.secondsToFairShare(),
                            model.pastTarget(),
                            oracle.pastTarget());
            assertWithMessage(figures)
                    .that(model.secondsToFairShare())
                    .isAtMost(oracle.secondsToFairShare() + MAX_DELAY_SECONDS);
        }
    }
}
