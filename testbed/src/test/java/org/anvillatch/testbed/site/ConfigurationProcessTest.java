package org.anvillatch.testbed.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.anvillatch.node.operator.CommandAnswer;
import org.anvillatch.node.operator.CommandAnswer.Result;
import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.proxy.FaultProxy;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Changes the configuration of real node processes under concurrent operators, outages of the log service, lost
 * responses, network partitions, paused nodes and dropped log records.
 */
class ConfigurationProcessTest {
    @TempDir
    private static Path directory;

    private static RunningSite site;

    @BeforeAll
    static void startSite() throws Exception {
        site = new RunningSite(
                SiteSpec.small(),
                new RunningSite.Options(true, directory, List.of("--snapshot-seconds", "1"), "", null));
        site.start();
    }

    @AfterAll
    static void stopSite() throws Exception {
        site.close();
    }

    @AfterEach
    void removeFaults() throws Exception {
        site.log().setMode(LogStandIn.Mode.UP);
        for (RunningSite.Host host : site.hosts()) {
            host.proxy().setFault(FaultProxy.Fault.NONE, 0);
        }
        site.awaitReady();
    }

    private static CommandAnswer run(int host, String author, String script) {
        try {
            return site.operatorClient().run(site.hosts().get(host).node().operatorAddress(), author, script);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    private static long version(int host) {
        return run(host, "test", "show configuration").version();
    }

    private static void awaitVersion(int host, long version) throws InterruptedException {
        RunningSite.await("version " + version + " at host " + host, () -> version(host) >= version);
    }

    @Test
    void onlyOneOfTwoConcurrentChangesIsAccepted() {
        long base = version(0);
        String script = "if version " + base + " retry bound ";
        CompletableFuture<CommandAnswer> first = CompletableFuture.supplyAsync(() -> run(0, "ana", script + 3));
        CompletableFuture<CommandAnswer> second = CompletableFuture.supplyAsync(() -> run(4, "ivo", script + 5));
        List<CommandAnswer> answers = List.of(first.join(), second.join());
        assertThat(answers.stream().map(CommandAnswer::result).toList())
                .containsExactly(Result.ACCEPTED, Result.CONFLICT);
        CommandAnswer conflict = answers.get(0).result() == Result.CONFLICT ? answers.get(0) : answers.get(1);
        String acceptedAuthor = conflict == answers.get(0) ? "ivo" : "ana";
        assertThat(conflict.tables().get(0).rows().get(0)).contains(acceptedAuthor);
        run(0, "test", "retry bound " + site.spec().retryBound());
    }

    @Test
    void acceptedChangeIsActiveInEveryFailureDomain() {
        CommandAnswer answer = run(2, "ana", "retry bound " + site.spec().retryBound());
        assertThat(answer.result()).isEqualTo(Result.ACCEPTED);
        assertThat(answer.message()).contains("in force in every failure domain");
        for (int host = 0; host < site.hosts().size(); host++) {
            assertThat(version(host)).isAtLeast(answer.version());
        }
    }

    @Test
    void lostAppendResponseIsResolvedByReadingTheLog() {
        site.log().setMode(LogStandIn.Mode.LOSES_ANSWERS);
        CommandAnswer answer = run(1, "ana", "retry bound " + site.spec().retryBound());
        assertThat(answer.result()).isEqualTo(Result.ACCEPTED);
    }

    @Test
    void logOutageIsReportedAndLeavesTheConfigurationUnchanged() {
        long before = version(3);
        site.log().setMode(LogStandIn.Mode.DOWN);
        CommandAnswer answer = run(3, "ana", "retry bound 1");
        assertThat(answer.result()).isEqualTo(Result.NOT_APPENDED);
        assertThat(version(3)).isEqualTo(before);
    }

    @Test
    void pausedNodeCatchesUpAfterResuming() throws Exception {
        NodeProcess paused = site.hosts().get(5).node();
        paused.send(NodeProcess.Signal.STOP);
        CommandAnswer answer = run(0, "ana", "retry bound " + site.spec().retryBound());
        assertThat(answer.result()).isEqualTo(Result.ACCEPTED);
        paused.send(NodeProcess.Signal.CONT);
        awaitVersion(5, answer.version());
    }

    @Test
    void unreachableHostStillReceivesAnAcceptedChange() throws Exception {
        RunningSite.Host partitionedHost = site.hosts().get(7);
        partitionedHost.proxy().setFault(FaultProxy.Fault.BLACKHOLE, 0);
        CommandAnswer answer = run(0, "ana", "retry bound " + site.spec().retryBound());
        assertThat(answer.result()).isEqualTo(Result.ACCEPTED);
        awaitVersion(7, answer.version());
    }

    @Test
    void restartedNodeRecoversTheConfigurationAfterRetentionDroppedItsRecord() throws Exception {
        RunningSite.await("a snapshot on the log", () -> site.log().nextOffset("configuration") > version(0) + 1);
        site.log().setMaxRecords(1);
        long expected = version(0);
        NodeProcess node = site.hosts().get(8).node();
        node.send(NodeProcess.Signal.KILL);
        node.awaitExit(10);
        node.start();
        site.awaitReady();
        assertThat(version(8)).isAtLeast(expected);
        site.log().setMaxRecords(Integer.MAX_VALUE);
    }
}
