package org.anvillatch.testbed.fault;

import java.nio.file.Path;
import java.util.List;

import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** Runs real node processes under load while the log goes back to an older copy, and checks the recorded history. */
class LogRestoreRoundTest {
    private static final double SECONDS = 6;
    private static final double REQUESTS_PER_SECOND = 50;

    @TempDir
    private Path directory;

    private RunningSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = new RunningSite(SiteSpec.small(), new RunningSite.Options(true, directory, List.of(), "", null));
        site.start();
    }

    @AfterEach
    void stopSite() throws Exception {
        site.close();
    }

    private HistoryChecker.Verdict runRound(String name, double callerKeyRatio, FaultRound.PlacedFault... faults)
            throws Exception {
        FaultRound.Parameters parameters = new FaultRound.Parameters(
                name, name.hashCode(), SECONDS, REQUESTS_PER_SECOND, List.of(faults), false, callerKeyRatio);
        return new FaultRound(site, parameters).run();
    }

    /** Guards against a write that runs twice because the claim of its key was lost; one node starts after the restore. */
    @Test
    void writesWithKeysOfCallersRunAtMostOnceThroughARestore() throws Exception {
        HistoryChecker.Verdict verdict = runRound(
                "restore-own-keys",
                1,
                new FaultRound.PlacedFault(Fault.LOG_RESTORED, "back-0"),
                new FaultRound.PlacedFault(Fault.KILL_NODE, "middle-1"));
        assertThat(verdict.violations()).isEmpty();
        assertThat(verdict.whole()).isGreaterThan(0);
    }

    /** Calls that need no claim on the log are not affected by its restore. */
    @Test
    @Tag("known-red")
    void callsWithoutKeysOfCallersSucceedThroughARestore() throws Exception {
        HistoryChecker.Verdict verdict =
                runRound("restore", 0, new FaultRound.PlacedFault(Fault.LOG_RESTORED, "back-0"));
        assertThat(verdict.violations()).isEmpty();
        assertThat(verdict.whole()).isEqualTo(verdict.roots());
    }
}
