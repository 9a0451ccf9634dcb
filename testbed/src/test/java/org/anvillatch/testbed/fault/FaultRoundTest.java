package org.anvillatch.testbed.fault;

import java.nio.file.Path;
import java.util.List;

import org.anvillatch.testbed.history.HistoryChecker;
import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Runs real node processes under each fault and checks the recorded history. */
class FaultRoundTest {
    private static final double SECONDS = 3;
    private static final double LONG_SECONDS = 10;
    private static final double REQUESTS_PER_SECOND = 50;

    @TempDir
    private static Path directory;

    private static RunningSite site;

    @BeforeAll
    static void startSite() throws Exception {
        site = new RunningSite(SiteSpec.small(), new RunningSite.Options(true, directory, List.of(), "", null));
        site.start();
    }

    @AfterAll
    static void stopSite() throws Exception {
        site.close();
    }

    private static HistoryChecker.Verdict runRound(
            String name, boolean poison, double callerKeyRatio, FaultRound.PlacedFault... faults) throws Exception {
        return runRound(name, SECONDS, poison, callerKeyRatio, faults);
    }

    private static HistoryChecker.Verdict runRound(
            String name, double seconds, boolean poison, double callerKeyRatio, FaultRound.PlacedFault... faults)
            throws Exception {
        FaultRound.Parameters parameters = new FaultRound.Parameters(
                name, name.hashCode(), seconds, REQUESTS_PER_SECOND, List.of(faults), poison, callerKeyRatio);
        HistoryChecker.Verdict verdict = new FaultRound(site, parameters).run();
        assertWithMessage(name).that(verdict.violations()).isEmpty();
        assertThat(verdict.whole()).isGreaterThan(0);
        return verdict;
    }

    /** A restore of the log changes how callers' keys are answered for a minute, so LogRestoreRoundTest has its own site. */
    @ParameterizedTest
    @EnumSource(value = Fault.class, mode = EnumSource.Mode.EXCLUDE, names = "LOG_RESTORED")
    void everyGuaranteeHoldsUnder(Fault fault) throws Exception {
        runRound("single-" + fault, false, 0.5, new FaultRound.PlacedFault(fault, "middle-1"));
    }

    @Test
    void poisonRequestCrashesAtMostTwoEndpoints() throws Exception {
        runRound("poison", true, 0);
    }

    @Test
    void allRequestsSucceedWhileTheLogIsDown() throws Exception {
        HistoryChecker.Verdict verdict =
                runRound("log-down", false, 0, new FaultRound.PlacedFault(Fault.LOG_DOWN, "back-0"));
        assertThat(verdict.whole()).isEqualTo(verdict.roots());
    }

    @Test
    void gracefulReplacementLosesNoRequest() throws Exception {
        HistoryChecker.Verdict verdict =
                runRound("replace", false, 0, new FaultRound.PlacedFault(Fault.REPLACE_NODE, "middle-2"));
        assertThat(verdict.failed()).isEqualTo(0);
        assertThat(verdict.foreignAnswers()).isEqualTo(0);
    }

    @Test
    void callerCreatedKeysSurviveAShortOutageOfTheLog() throws Exception {
        HistoryChecker.Verdict verdict =
                runRound("own-keys-short", false, 1, new FaultRound.PlacedFault(Fault.LOG_DOWN, "back-0"));
        // A call whose key is claimed just before its deadline may start and end with an unknown outcome; every other
        // call must have a known outcome.
        assertThat(verdict.failed()).isEqualTo(0);
        assertThat(verdict.whole() + verdict.refusedNotRun() + verdict.unknown() + verdict.duplicates())
                .isEqualTo(verdict.roots());
    }

    @Test
    @Tag("known-red")
    void onlyCallerCreatedKeysAreRefusedInALongOutageOfTheLog() throws Exception {
        HistoryChecker.Verdict verdict =
                runRound("own-keys-long", LONG_SECONDS, false, 1, new FaultRound.PlacedFault(Fault.LOG_DOWN, "back-0"));
        assertThat(verdict.failed()).isEqualTo(0);
        assertThat(verdict.refusedNotRun()).isGreaterThan(0);
        assertThat(verdict.whole()).isGreaterThan(verdict.roots() / 2);
    }
}
