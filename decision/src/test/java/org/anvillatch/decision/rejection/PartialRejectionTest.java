package org.anvillatch.decision.rejection;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Load pattern: all endpoints of one service reject two requests in five for 8 s. Guards against retries that are spread
 * over all call trees, so that nearly every tree with several calls is run and fails.
 */
class PartialRejectionTest {
    private static final int SEEDS = 3;

    static Stream<RejectionModel.Scenario> scenarios() {
        List<List<RejectionModel.Load>> mixes = List.of(
                List.of(new RejectionModel.Load(60, 8, 15, 4), new RejectionModel.Load(300, 1, 14, 1)),
                List.of(new RejectionModel.Load(60, 8, 15, 1), new RejectionModel.Load(300, 1, 15, 1)),
                List.of(
                        new RejectionModel.Load(100, 8, 15, 4),
                        new RejectionModel.Load(50, 4, 14, 2),
                        new RejectionModel.Load(200, 1, 13, 1)),
                List.of(new RejectionModel.Load(300, 1, 15, 2), new RejectionModel.Load(60, 8, 13, 1)),
                List.of(new RejectionModel.Load(60, 8, 15, 4)));
        List<RejectionModel.Scenario> scenarios = new ArrayList<>();
        for (List<RejectionModel.Load> loads : mixes) {
            for (int maxRetries = 1; maxRetries <= 3; maxRetries++) {
                scenarios.add(new RejectionModel.Scenario(0.4, maxRetries, loads));
            }
        }
        return scenarios.stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void servesNineTenthsOfWhatPerfectKnowledgeServes(RejectionModel.Scenario scenario) {
        double before = 0;
        double served = 0;
        double oracle = 0;
        double excess = Double.NEGATIVE_INFINITY;
        long refusedAfterEnd = Long.MIN_VALUE;
        for (int seed = 1; seed <= SEEDS; seed++) {
            before += new RejectionModel(seed, scenario, false).run().served() / SEEDS;
            RejectionModel model = new RejectionModel(seed, scenario, true).run();
            served += model.served() / SEEDS;
            oracle = model.oracle();
            excess = Math.max(excess, model.excessOverBound());
            refusedAfterEnd = Math.max(refusedAfterEnd, model.refusedAfterEnd());
        }
        String figures =
                "served %.3f, before %.3f, oracle %.3f, retries beyond the bound %.0f, refused after the end %d"
                        .formatted(served, before, oracle, excess, refusedAfterEnd);
        assertWithMessage(figures).that(served).isAtLeast(0.9 * oracle);
        assertWithMessage(figures).that(excess).isAtMost(0.0);
        assertWithMessage(figures).that(refusedAfterEnd).isLessThan(1_000_000L);
    }
}
