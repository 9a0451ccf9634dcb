package org.anvillatch.testbed.experiment;

import java.nio.file.Path;
import java.util.List;

import org.anvillatch.testbed.site.SiteSpec;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** Checks that less important calls are refused first, also at the beginning of a surge. */
class SurgeOrderTest {
    private static final double SECONDS = 15;
    private static final double SLOWDOWN = 2;

    @TempDir
    private Path directory;

    @Test
    @Tag("known-red")
    void noCallIsRefusedWhileLessImportantCallsKeepBeingStarted() throws Exception {
        VariantRun.Parameters parameters = new VariantRun.Parameters(
                SiteSpec.sicily().slowedBy(SLOWDOWN), ExperimentPlan.SURGE_4X, 1, SECONDS, List.of(), directory);
        VariantRun.Result result = new VariantRun(parameters, Variant.ANVILLATCH).run();
        assertThat(result.measurement().violations()).isEqualTo(0);
    }
}
