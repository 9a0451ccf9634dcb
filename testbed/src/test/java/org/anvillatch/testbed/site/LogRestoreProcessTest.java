package org.anvillatch.testbed.site;

import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.anvillatch.node.operator.CommandAnswer;
import org.anvillatch.node.operator.CommandAnswer.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** Restores the log from an older copy while real node processes run. */
class LogRestoreProcessTest {
    @TempDir
    private Path directory;

    private RunningSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = new RunningSite(SiteSpec.small(), new RunningSite.Options(false, directory, List.of(), "", null));
        site.start();
    }

    @AfterEach
    void stopSite() throws Exception {
        site.close();
    }

    private CommandAnswer run(int host, String script) throws IOException, InterruptedException {
        return site.operatorClient().run(site.hosts().get(host).node().operatorAddress(), "ana", script);
    }

    private int retryBound(int host) {
        try {
            return run(host, "show configuration").tables().stream()
                    .flatMap(table -> table.rows().stream())
                    .filter(row -> row.get(0).startsWith("retry bound "))
                    .mapToInt(row -> Integer.parseInt(row.get(0).substring("retry bound ".length())))
                    .findFirst()
                    .orElse(-1);
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private void awaitRetryBound(int bound) throws InterruptedException {
        for (int host = 0; host < site.hosts().size(); host++) {
            int index = host;
            RunningSite.await("retry bound " + bound + " at host " + host, () -> retryBound(index) == bound);
        }
    }

    private void restartNode(int host) throws Exception {
        NodeProcess node = site.hosts().get(host).node();
        node.send(NodeProcess.Signal.KILL);
        node.awaitExit(10);
        node.start();
        site.awaitReady();
    }

    /** Guards against an accepted change that a host started after the restore does not have. */
    @Test
    void acceptedChangeSurvivesARestoreAtAllHosts() throws Exception {
        site.log().saveCopy();
        assertThat(run(0, "retry bound 7").result()).isEqualTo(Result.ACCEPTED);
        awaitRetryBound(7);
        site.log().restoreCopy();
        for (int host = 0; host < site.hosts().size(); host++) {
            restartNode(host);
        }
        awaitRetryBound(7);
    }

    /** Guards against a change after a restore that hosts ignore, because the offset of its record was used before. */
    @Test
    void changeAfterARestoreIsAcceptedOrRefusedButNeverIgnored() throws Exception {
        site.log().saveCopy();
        assertThat(run(0, "retry bound 7").result()).isEqualTo(Result.ACCEPTED);
        awaitRetryBound(7);
        site.log().restoreCopy();
        Set<Result> results = EnumSet.noneOf(Result.class);
        RunningSite.await("a change is accepted", () -> isAccepted(results, "retry bound 5"));
        assertThat(results).containsNoneOf(Result.NOT_KNOWN_YET, Result.CONFLICT);
        awaitRetryBound(5);
    }

    private boolean isAccepted(Set<Result> results, String script) {
        try {
            results.add(run(1, script).result());
            return results.contains(Result.ACCEPTED);
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
