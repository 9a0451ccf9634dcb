package org.anvillatch.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationReducerTest {
    private final ConfigurationReducer reducer = new ConfigurationReducer();

    private static ConfigurationRecord bound(String change, long basedOn, int retries) {
        return new ConfigurationRecord(
                change, basedOn, "operator", 0, List.of(new ConfigurationChange.RetryBound(retries)), null);
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
        assertThat(reducer.coveredOffset()).isEqualTo(-1);
    }

    @Test
    void snapshotDoesNotReplaceARecordThatItsWriterHadNotRead() {
        ConfigurationReducer writer = new ConfigurationReducer();
        writer.addRecord(0, bound("a", Configuration.NO_VERSION, 1));
        ConfigurationSnapshot earlySnapshot = writer.snapshot();
        ConfigurationRecord snapshot = new ConfigurationRecord("s", 0, "host", 0, List.of(), earlySnapshot);
        // Retention has dropped offset 0; offset 1 was appended after the writer made its snapshot.
        reducer.addRecord(1, bound("b", 0, 2));
        reducer.addRecord(2, snapshot);
        assertThat(reducer.isKnown()).isTrue();
        assertThat(reducer.current().retryBound()).isEqualTo(2);
    }

    @Test
    void staleSnapshotThatLeavesAGapIsNotAdopted() {
        ConfigurationSnapshot earlySnapshot = new ConfigurationSnapshot(Configuration.EMPTY, 0, List.of());
        reducer.addRecord(3, bound("c", 2, 3));
        reducer.addRecord(4, new ConfigurationRecord("s", 0, "host", 0, List.of(), earlySnapshot));
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
                    ? new ConfigurationRecord("s" + offset, 0, "host", 0, List.of(), complete.snapshot())
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
