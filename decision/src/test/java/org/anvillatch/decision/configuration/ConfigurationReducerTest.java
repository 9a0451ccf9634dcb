package org.anvillatch.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.anvillatch.decision.model.LogPosition;
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.Team;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationReducerTest {
    private final ConfigurationReducer reducer = new ConfigurationReducer();

    private static ConfigurationRecord bound(String change, long basedOn, int retries) {
        return new ConfigurationRecord(
                change, basedOn, "operator", 0, List.of(new ConfigurationChange.RetryBound(retries)), null, 0);
    }

    @Test
    void firstOfConcurrentChangesIsAccepted() {
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        reducer.addRecord(1, bound("b", Configuration.NO_VERSION, 2));
        assertThat(reducer.current().retryBound()).isEqualTo(1);
        assertThat(reducer.verdictOf("b").decision()).isEqualTo(ChangeVerdict.Decision.CONFLICT);
        assertThat(reducer.verdictOf("b").version()).isEqualTo(0);
    }

    @Test
    void repeatedAppendTakesEffectOnce() {
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        reducer.addRecord(1, bound("a", Configuration.NO_VERSION, 1));
        assertThat(reducer.current().version()).isEqualTo(0);
        assertThat(reducer.verdictOf("a").decision()).isEqualTo(ChangeVerdict.Decision.ACCEPTED);
    }

    @Test
    void gapIsNotSkipped() {
        reducer.addRecord(5, bound("late", Configuration.NO_VERSION, 9));
        assertThat(reducer.isKnown()).isFalse();
        assertThat(reducer.current().version()).isEqualTo(Configuration.NO_VERSION);
        assertThat(reducer.nextOffset()).isEqualTo(6);
        assertThat(reducer.coveredPosition()).isEqualTo(-1);
    }

    @Test
    void snapshotDoesNotReplaceARecordThatItsWriterHadNotRead() {
        ConfigurationReducer writer = new ConfigurationReducer();
        writer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        ConfigurationSnapshot earlySnapshot = writer.snapshot();
        ConfigurationRecord snapshot = new ConfigurationRecord("s", 0, "host", 0, List.of(), earlySnapshot, 0);
        // Retention has dropped offset 0; offset 1 was appended after the writer made its snapshot.
        reducer.addRecord(1, bound("b", 0, 2));
        reducer.addRecord(2, snapshot);
        assertThat(reducer.isKnown()).isTrue();
        assertThat(reducer.current().retryBound()).isEqualTo(2);
    }

    @Test
    void staleSnapshotThatLeavesAGapIsNotAdopted() {
        ConfigurationSnapshot earlySnapshot = new ConfigurationSnapshot(Configuration.EMPTY, 0, List.of(), 0);
        reducer.addRecord(3, bound("c", 2, 3));
        reducer.addRecord(4, new ConfigurationRecord("s", 0, "host", 0, List.of(), earlySnapshot, 0));
        assertThat(reducer.isKnown()).isFalse();
    }

    @Test
    void olderSnapshotOfAPeerIsNotAdopted() {
        ConfigurationSnapshot oldSnapshot = reducer.snapshot();
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        assertThat(reducer.adopt(oldSnapshot)).isFalse();
        assertThat(reducer.current().retryBound()).isEqualTo(1);
    }

    @Test
    void invalidChangeIsReportedAndNotApplied() {
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1_000));
        assertThat(reducer.verdictOf("a").decision()).isEqualTo(ChangeVerdict.Decision.INVALID);
        assertThat(reducer.verdictOf("a").findings()).isNotEmpty();
        assertThat(reducer.current().version()).isEqualTo(Configuration.NO_VERSION);
    }

    private static ConfigurationRecord teams(String change, long basedOn, ConfigurationChange... changes) {
        return new ConfigurationRecord(change, basedOn, "operator", 0, List.of(changes), null, 0);
    }

    private static ConfigurationChange team(String name, String importance, String... hashes) {
        return new ConfigurationChange.Team(name, new TeamPolicy(importance, 4, 8, List.of(hashes)));
    }

    @Test
    void teamsAreDeclaredReplacedAndRemoved() {
        String first = ApiKeyHash.of("a");
        reducer.addRecord(0, teams("a", Configuration.NO_VERSION, team("blue", "normal", first), team("red", null)));
        assertThat(reducer.current().teamList())
                .containsExactly(
                        new Team("blue", 0, 4, 8, List.of(first)),
                        new Team("red", Team.NO_IMPORTANCE, 4, 8, List.of()));
        reducer.addRecord(1, teams("b", 0, new ConfigurationChange.TeamRemoval("blue"), team("red", null, first)));
        assertThat(reducer.current().teams().keySet()).containsExactly("red");
        assertThat(reducer.current().asChanges().toString()).contains(first);
    }

    /** Guards against a key that belongs to two teams, and against corrections that take one version for each error. */
    @Test
    void allErrorsOfTeamsAreReportedAndNothingIsApplied() {
        String hash = ApiKeyHash.of("a");
        reducer.addRecord(
                0,
                teams(
                        "a",
                        Configuration.NO_VERSION,
                        team("blue", "huge", hash),
                        team("red", null, hash, "not-a-hash")));
        assertThat(reducer.verdictOf("a").findings().toString()).contains("team blue: importance \"huge\"");
        assertThat(reducer.verdictOf("a").findings().toString()).contains("already declared for team blue");
        assertThat(reducer.verdictOf("a").findings().toString()).contains("not a SHA-256");
        assertThat(reducer.current().teams()).isEmpty();
    }

    private static ConfigurationRecord boundIn(long history, String change, long basedOn, int retries) {
        return new ConfigurationRecord(
                change, basedOn, "operator", 0, List.of(new ConfigurationChange.RetryBound(retries)), null, history);
    }

    private static ConfigurationRecord snapshotIn(long history, ConfigurationReducer author) {
        return new ConfigurationRecord("s", 0, "host", 0, List.of(), author.snapshot(), history);
    }

    /** Guards against hosts that differ for good after a restore: one that stayed and one that started later. */
    @Test
    void hostsThatStayedAndHostsThatStartedLaterAgreeAfterARestore() {
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        reducer.addRecord(1, bound("b", 0, 2));
        // The copy holds only the first record.
        reducer.startHistory(1);
        ConfigurationReducer later = new ConfigurationReducer();
        later.startHistory(1);
        for (ConfigurationReducer host : List.of(reducer, later)) {
            host.addRecord(LogPosition.of(1, 0), bound("a", Configuration.NO_VERSION, 1));
        }
        assertThat(reducer.current().retryBound()).isEqualTo(2);
        assertThat(later.isKnown()).isFalse();
        ConfigurationRecord snapshot = snapshotIn(1, reducer);
        for (ConfigurationReducer host : List.of(reducer, later)) {
            host.addRecord(LogPosition.of(1, 1), snapshot);
            assertThat(host.isHistoryOpen()).isTrue();
            assertThat(host.current().retryBound()).isEqualTo(2);
            host.addRecord(LogPosition.of(1, 2), boundIn(1, "c", LogPosition.of(1, 1), 3));
        }
        assertThat(later.isKnown()).isTrue();
        assertThat(reducer.current().retryBound()).isEqualTo(3);
        assertThat(later.current()).isEqualTo(reducer.current());
    }

    /** Guards against a change that hosts which do not know the lost records accept, and the others refuse. */
    @Test
    void changeBeforeTheHistoryIsOpenIsAConflict() {
        reducer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        reducer.startHistory(1);
        reducer.addRecord(LogPosition.of(1, 0), bound("a", Configuration.NO_VERSION, 1));
        reducer.addRecord(LogPosition.of(1, 1), boundIn(1, "early", 0, 9));
        assertThat(reducer.verdictOf("early").decision()).isEqualTo(ChangeVerdict.Decision.CONFLICT);
        assertThat(reducer.current().retryBound()).isEqualTo(1);
    }

    /** Guards against a change that is lost in a restore without a word to the operator. */
    @Test
    void changeThatTheAuthorOfTheSnapshotDoesNotHaveIsReportedAsLost() {
        ConfigurationReducer author = new ConfigurationReducer();
        for (ConfigurationReducer host : List.of(author, reducer)) {
            host.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        }
        reducer.addRecord(1, bound("b", 0, 2));
        for (ConfigurationReducer host : List.of(author, reducer)) {
            host.startHistory(1);
        }
        reducer.addRecord(LogPosition.of(1, 0), snapshotIn(1, author));
        assertThat(reducer.current().retryBound()).isEqualTo(1);
        assertThat(reducer.verdictOf("b").decision()).isEqualTo(ChangeVerdict.Decision.LOST);
        assertThat(reducer.verdictOf("a").decision()).isEqualTo(ChangeVerdict.Decision.ACCEPTED);
    }

    /** The author of the snapshot asks others first, so that it has the latest version that any of them knows. */
    @Test
    void laterVersionOfAPeerIsAdoptedUntilTheHistoryIsOpen() {
        ConfigurationReducer informed = new ConfigurationReducer();
        for (ConfigurationReducer host : List.of(informed, reducer)) {
            host.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        }
        informed.addRecord(1, bound("b", 0, 2));
        reducer.startHistory(1);
        assertThat(reducer.adopt(informed.snapshot())).isTrue();
        assertThat(reducer.current().retryBound()).isEqualTo(2);
        assertThat(reducer.isHistoryOpen()).isFalse();
        reducer.addRecord(LogPosition.of(1, 0), snapshotIn(1, reducer));
        assertThat(reducer.adopt(informed.snapshot())).isFalse();
    }

    /** Retention may have dropped the beginning of the restored stream; an earlier snapshot then covers the gap. */
    @Test
    void snapshotBeforeTheRestoreCoversAGapInTheRestoredStream() {
        ConfigurationReducer author = new ConfigurationReducer();
        author.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        reducer.startHistory(1);
        reducer.addRecord(LogPosition.of(1, 1), snapshotIn(0, author));
        assertThat(reducer.current().retryBound()).isEqualTo(1);
        assertThat(reducer.nextOffset()).isEqualTo(2);
        assertThat(reducer.isKnown()).isFalse();
    }

    /** Hosts that read or miss records and adopt snapshots in any order have the same configuration in the end. */
    @Property(tries = 200, seed = "11")
    void hostsConvergeWhateverRecordsTheyMissed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ConfigurationRecord> stream = new ArrayList<>();
        ConfigurationReducer complete = new ConfigurationReducer();
        ConfigurationReducer lagging = new ConfigurationReducer();
        long lastVersion = Configuration.NO_VERSION;
        for (int offset = 0; offset < 30; offset++) {
            long basedOn = random.nextInt(3) == 0
                    ? random.nextInt(30) - 1
                    : complete.current().version();
            ConfigurationRecord entry = random.nextInt(8) == 0
                    ? new ConfigurationRecord("s" + offset, 0, "host", 0, List.of(), complete.snapshot(), 0)
                    : bound("c" + random.nextInt(40), basedOn, random.nextInt(100));
            stream.add(entry);
            complete.addRecord(offset, entry);
            if (random.nextBoolean()) {
                lagging.addRecord(offset, entry);
            }
            if (random.nextInt(10) == 0) {
                lagging.adopt(complete.snapshot());
            }
            assertThat(lagging.current().version()).isAtLeast(lastVersion);
            lastVersion = lagging.current().version();
        }
        for (int offset = 0; offset < stream.size(); offset++) {
            lagging.addRecord(offset, stream.get(offset));
        }
        assertThat(lagging.current()).isEqualTo(complete.current());
    }
}
