package org.anvillatch.node.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.configuration.ChangeVerdict;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.ConfigurationSnapshot;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.LogPosition;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.membership.VersionedState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.platform.PlatformLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration stream, distributes new records to other hosts and appends changes.
 *
 * <p>A few hosts of each failure domain, chosen by rendezvous hashing, are frequent readers of the log; the others read
 * it rarely. A host immediately pushes new records to a few random hosts. A host that lags detects this from the
 * versions in gossip messages and fetches the missing records. Not thread safe: all methods are called on the decision
 * loop.
 *
 * <p>After the log was restored from an older copy, the first host by name asks others for their configuration and
 * writes the latest one to the log. Changes are refused until then. If that host does not do it, since it cannot reach
 * the log, the other frequent readers do so some seconds later.
 *
 * <p>Invariant: a change is reported as accepted only after its record was applied on this host.
 */
public final class ConfigurationService implements VersionedState {
    /** Name of the configuration stream. */
    public static final String STREAM_NAME = "configuration";

    /** Time between two reads of the log by a frequent reader, in microseconds. */
    public static final long READ_PERIOD_MICROS = 200_000;

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
    private static final long INFREQUENT_READ_PERIOD_MICROS = 60_000_000;
    private static final int FREQUENT_READERS_PER_DOMAIN = 3;
    private static final int PUSH_FANOUT = 4;
    private static final int MAX_RECENT_RECORDS = 256;
    private static final int MAX_RECORDS_BETWEEN_SNAPSHOTS = 50;
    private static final long PEER_TIMEOUT_MICROS = 1_000_000;
    private static final int MAX_HOSTS_ASKED = 32;

    /** Time in which other hosts notice a restore and spread the versions that they have, in microseconds. */
    private static final long COLLECTION_DELAY_MICROS = 500_000;

    /**
     * Minimum time that other frequent readers leave to the first host, in microseconds; they wait up to twice as long.
     */
    private static final long TAKEOVER_DELAY_MICROS = 4_000_000;

    /** Time for the answers of other hosts and the append, after which it is repeated, in microseconds. */
    private static final long OPENING_PERIOD_MICROS = 1_200_000;

    /** Position of a host that has applied nothing; the answer to it contains a snapshot. */
    private static final long NO_POSITION = Long.MIN_VALUE;

    private static final long VERDICT_POLL_PERIOD_MICROS = 50_000;
    private static final ObjectMapper MAPPER = FrameCodec.configure(new ObjectMapper());

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final PlatformLog log;
    private final long snapshotPeriodMicros;
    private final TreeMap<Long, ConfigurationRecord> recent = new TreeMap<>();
    private final List<Runnable> changeListeners = new ArrayList<>();
    private final Set<String> fetching = new HashSet<>();
    private boolean reading;
    private long nextReadMicros;
    private long lastSnapshotMicros;
    private long lastSnapshotPosition = -1;
    private long noticedHistory;
    private long nextOpeningMicros;
    private boolean othersAsked;
    private boolean logAvailable;

    /**
     * Creates the service.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param peers client for other hosts
     * @param log the platform's log
     * @param snapshotPeriodMicros maximum time between two snapshots on the stream, in microseconds
     */
    public ConfigurationService(
            DecisionLoop loop, HostState state, PeerClient peers, PlatformLog log, long snapshotPeriodMicros) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.log = log;
        this.snapshotPeriodMicros = snapshotPeriodMicros;
        this.lastSnapshotMicros = loop.nowMicros();
    }

    /**
     * Registers a listener for new configurations.
     *
     * @param listener called on the loop after each change of the current version
     */
    public void addChangeListener(Runnable listener) {
        changeListeners.add(listener);
    }

    /** Reads the log and writes a snapshot if they are due. */
    public void tick() {
        long now = loop.nowMicros();
        if (now >= nextReadMicros) {
            boolean frequent = isFrequentReader() || !state.configuration().isKnown();
            nextReadMicros = now + (frequent ? READ_PERIOD_MICROS : INFREQUENT_READ_PERIOD_MICROS);
            read();
        }
        noticeHistory(now);
        if (state.configuration().isHistoryOpen()) {
            writeSnapshotIfDue(now);
        } else {
            openHistoryIfDue(now);
        }
    }

    /** Notices a new history of the log, which this host or another one has read. */
    private void noticeHistory(long now) {
        long history = state.configuration().history();
        if (history == noticedHistory) {
            return;
        }
        LOG.warn(
                "log restored from an older copy: history={} before={}; configuration version {} stays in force",
                history,
                noticedHistory,
                state.configuration().current().version());
        noticedHistory = history;
        othersAsked = false;
        nextOpeningMicros = now
                + (state.membership().isFirstPresent()
                        ? COLLECTION_DELAY_MICROS
                        : TAKEOVER_DELAY_MICROS + state.random().nextLong(TAKEOVER_DELAY_MICROS));
    }

    /** Makes the next tick read the log. Called after a pause of this process. */
    public void requestImmediateRead() {
        nextReadMicros = 0;
    }

    private boolean isFrequentReader() {
        return readerPosition() < FREQUENT_READERS_PER_DOMAIN;
    }

    private int readerPosition() {
        Member self = state.membership().self();
        int ownScore = readerScore(self);
        int position = 0;
        for (Member member : state.membership().all()) {
            boolean competing =
                    member.domain().equals(self.domain()) && member.status().isPresent();
            if (competing && readerScore(member) > ownScore) {
                position++;
            }
        }
        return position;
    }

    private static int readerScore(Member member) {
        return Rank.of(0, STREAM_NAME + member.host()) * Rank.LIMIT
                + member.host().hashCode() % Rank.LIMIT;
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        log.read(STREAM_NAME, state.configuration().nextOffset(), result -> loop.execute(() -> onRead(result)));
    }

    private void onRead(PlatformLog.ReadResult result) {
        reading = false;
        if (logAvailable != result.available()) {
            logAvailable = result.available();
            LOG.info("platform log is {}", logAvailable ? "available" : "unavailable");
        }
        if (!result.available()) {
            return;
        }
        long history = state.configuration().history();
        if (result.history() > history) {
            state.configuration().startHistory(result.history());
            // These records were requested by an offset of the earlier history.
            read();
            return;
        } else if (result.history() < history) {
            return;
        }
        if (result.nextOffset() == 0) {
            state.configuration().markStreamEmpty();
        }
        TreeMap<Long, ConfigurationRecord> records = new TreeMap<>();
        for (PlatformLog.Entry entry : result.entries()) {
            decode(history, entry, records);
        }
        apply(records);
    }

    private static void decode(long history, PlatformLog.Entry entry, TreeMap<Long, ConfigurationRecord> records) {
        long position = LogPosition.of(history, entry.offset());
        try {
            records.put(position, MAPPER.readValue(entry.value(), ConfigurationRecord.class));
        } catch (IOException malformed) {
            LOG.warn(
                    "record at offset {} of stream {} is malformed: {}",
                    entry.offset(),
                    STREAM_NAME,
                    malformed.getMessage());
            // The offset must not be skipped, so that all hosts apply the same sequence of records. The substitute
            // changes nothing, because no configuration has version -2.
            records.put(
                    position, new ConfigurationRecord("malformed-" + position, -2, "", 0, List.of(), null, history));
        }
    }

    private void apply(TreeMap<Long, ConfigurationRecord> records) {
        long appliedBefore = appliedPosition();
        long versionBefore = state.configuration().current().version();
        records.forEach((position, entry) -> {
            state.configuration().addRecord(position, entry);
            if (entry.snapshot() != null) {
                lastSnapshotPosition = Math.max(lastSnapshotPosition, position);
                lastSnapshotMicros = loop.nowMicros();
            }
            recent.put(position, entry);
        });
        recent.headMap(LogPosition.beforeFirst(state.configuration().history()), true)
                .clear();
        while (recent.size() > MAX_RECENT_RECORDS) {
            recent.pollFirstEntry();
        }
        onApplied(appliedBefore, versionBefore);
    }

    private void onApplied(long appliedBefore, long versionBefore) {
        if (appliedPosition() > appliedBefore) {
            push(appliedBefore);
        }
        if (state.configuration().current().version() != versionBefore) {
            LOG.info(
                    "configuration version {} is active",
                    state.configuration().current().version());
            changeListeners.forEach(Runnable::run);
        }
    }

    private long appliedPosition() {
        return state.configuration().coveredPosition();
    }

    private void push(long appliedBefore) {
        PeerMessage message = answer(appliedBefore);
        for (Member other : randomPeers(PUSH_FANOUT)) {
            peers.send(other.address(), message, PEER_TIMEOUT_MICROS, IGNORE_ANSWER);
        }
    }

    private List<Member> randomPeers(int maxPeers) {
        List<Member> others = state.membership().presentPeers();
        List<Member> chosen = new ArrayList<>();
        while (chosen.size() < maxPeers && !others.isEmpty()) {
            chosen.add(others.remove(state.random().nextInt(others.size())));
        }
        return chosen;
    }

    private static final PeerClient.AnswerListener IGNORE_ANSWER = new PeerClient.AnswerListener() {
        @Override
        public void answered(PeerMessage message) {
            LOG.trace("push acknowledged");
        }

        @Override
        public void failed(PeerClient.PeerFailure failure) {
            LOG.trace("push not acknowledged");
        }
    };

    /**
     * Returns the answer to a host that requests the configuration.
     *
     * @param coveredPosition position up to which that host has applied the stream
     * @return the missing records, or a snapshot if this host no longer keeps them
     */
    public ControlMessages.ConfigurationAnswer answer(long coveredPosition) {
        Member self = state.membership().self();
        boolean recordsSuffice = !recent.isEmpty() && recent.firstKey() <= coveredPosition + 1;
        List<ControlMessages.PositionedRecord> records = new ArrayList<>();
        if (recordsSuffice) {
            recent.tailMap(coveredPosition, false)
                    .forEach((position, entry) -> records.add(new ControlMessages.PositionedRecord(position, entry)));
        }
        boolean known = state.configuration().isKnown();
        ConfigurationSnapshot snapshot =
                recordsSuffice || !known ? null : state.configuration().snapshot();
        return new ControlMessages.ConfigurationAnswer(
                snapshot, records, self.host().name(), self.domain());
    }

    /**
     * Applies the configuration that another host sent.
     *
     * @param answer records or a snapshot
     */
    public void merge(ControlMessages.ConfigurationAnswer answer) {
        if (answer.snapshot() != null) {
            long appliedBefore = appliedPosition();
            long versionBefore = state.configuration().current().version();
            state.configuration().adopt(answer.snapshot());
            onApplied(appliedBefore, versionBefore);
        }
        TreeMap<Long, ConfigurationRecord> records = new TreeMap<>();
        answer.records().forEach(entry -> records.put(entry.position(), entry.entry()));
        if (!records.isEmpty() && records.lastKey() > appliedPosition()) {
            apply(records);
        }
    }

    @Override
    public long version() {
        return appliedPosition();
    }

    /** Fetches the configuration from another host if that host has applied more of the stream. */
    @Override
    public void peerVersionReceived(String address, long coveredPosition) {
        boolean lagging =
                coveredPosition > appliedPosition() || !state.configuration().isKnown();
        if (lagging) {
            fetch(address, appliedPosition());
        }
    }

    private void fetch(String address, long coveredPosition) {
        if (!fetching.add(address)) {
            return;
        }
        PeerMessage request = new ControlMessages.ConfigurationRequest(coveredPosition);
        peers.send(address, request, PEER_TIMEOUT_MICROS, new PeerClient.AnswerListener() {
            @Override
            public void answered(PeerMessage message) {
                fetching.remove(address);
                if (message instanceof ControlMessages.ConfigurationAnswer answer) {
                    merge(answer);
                }
            }

            @Override
            public void failed(PeerClient.PeerFailure failure) {
                fetching.remove(address);
            }
        });
    }

    private void writeSnapshotIfDue(long now) {
        ConfigurationSnapshot snapshot = state.configuration().snapshot();
        boolean hasContent = snapshot.configuration().version() >= 0;
        boolean manyRecords = snapshot.coveredPosition() - lastSnapshotPosition > MAX_RECORDS_BETWEEN_SNAPSHOTS;
        boolean overdue = now - lastSnapshotMicros > snapshotPeriodMicros;
        if (!hasContent
                || !logAvailable
                || !manyRecords && !overdue
                || !state.membership().isFirstPresent()) {
            return;
        }
        lastSnapshotMicros = now;
        lastSnapshotPosition = snapshot.coveredPosition();
        appendSnapshot(snapshot);
    }

    private void appendSnapshot(ConfigurationSnapshot snapshot) {
        String author = state.membership().self().host().name();
        String change = "snapshot-" + author + "-" + snapshot.coveredPosition();
        append(
                new ConfigurationRecord(
                        change,
                        snapshot.coveredPosition(),
                        author,
                        System.currentTimeMillis(),
                        List.of(),
                        snapshot,
                        state.configuration().history()),
                result -> LOG.info(
                        "append of a snapshot of version {}: {}",
                        snapshot.configuration().version(),
                        result));
    }

    /** Writes the latest configuration that this host or others know to the current history of the log. */
    private void openHistoryIfDue(long now) {
        if (!logAvailable || now < nextOpeningMicros || !state.membership().isFirstPresent() && !isFrequentReader()) {
            return;
        }
        nextOpeningMicros = now + OPENING_PERIOD_MICROS;
        if (othersAsked) {
            appendSnapshot(state.configuration().snapshot());
        } else {
            othersAsked = true;
            randomPeers(MAX_HOSTS_ASKED).forEach(other -> fetch(other.address(), NO_POSITION));
        }
    }

    private void append(ConfigurationRecord entry, Consumer<PlatformLog.AppendResult> listener) {
        try {
            byte[] value = MAPPER.writeValueAsBytes(entry);
            log.append(STREAM_NAME, entry.history(), value, result -> loop.execute(() -> listener.accept(result)));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("configuration record cannot be encoded", failure);
        }
    }

    /**
     * Appends a change and reports its verdict when it is known. Does not block.
     *
     * @param change identifier of the change
     * @param basedOn version that the change is based on
     * @param author operator who makes the change
     * @param changes the changes, in order
     * @param waitMicros maximum wait for the verdict, in microseconds
     * @param listener receives the verdict and the result of the append, on the loop
     */
    public void change(
            String change,
            long basedOn,
            String author,
            List<ConfigurationChange> changes,
            long waitMicros,
            VerdictListener listener) {
        long history = state.configuration().history();
        ConfigurationRecord entry =
                new ConfigurationRecord(change, basedOn, author, System.currentTimeMillis(), changes, null, history);
        append(entry, result -> {
            if (result == PlatformLog.AppendResult.NOT_APPENDED) {
                listener.ended(null, result);
            } else {
                awaitVerdict(change, result, loop.nowMicros() + waitMicros, listener);
            }
        });
    }

    /** Receives the result of a change. */
    public interface VerdictListener {
        /**
         * Called when the verdict is known or the wait is over.
         *
         * @param verdict the verdict, null if it is not known
         * @param append result of the append
         */
        void ended(ChangeVerdict verdict, PlatformLog.AppendResult append);
    }

    private void awaitVerdict(
            String change, PlatformLog.AppendResult append, long deadlineMicros, VerdictListener listener) {
        ChangeVerdict verdict = state.configuration().verdictOf(change);
        if (verdict != null || loop.nowMicros() >= deadlineMicros) {
            listener.ended(verdict, append);
            return;
        }
        read();
        loop.schedule(VERDICT_POLL_PERIOD_MICROS, () -> awaitVerdict(change, append, deadlineMicros, listener));
    }
}
