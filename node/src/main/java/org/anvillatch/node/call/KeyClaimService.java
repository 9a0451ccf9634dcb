package org.anvillatch.node.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.idempotency.KeyClaims;
import org.anvillatch.decision.idempotency.UuidV7Key;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.platform.PlatformLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines which host owns an idempotency key that a caller chose. Hosts append claims to a stream of the platform's
 * log; the record with the lowest offset that contains a key determines its owner. Claims made within a short time are
 * appended as one record. Owned by the decision loop: all methods are called on it.
 *
 * <p>Invariants: an owner is reported only after its record was read from the stream; each listener is called exactly
 * once.
 */
public final class KeyClaimService {
    /** Name of the stream of claims. */
    public static final String STREAM_NAME = "claims";

    private static final Logger LOG = LoggerFactory.getLogger(KeyClaimService.class);
    private static final long BATCH_DELAY_MICROS = 20_000;
    private static final long POLL_INTERVAL_MICROS = 20_000;
    private static final ObjectMapper MAPPER = FrameCodec.configure(new ObjectMapper());

    private final DecisionLoop loop;
    private final HostIdentity self;
    private final IdempotencyLedger ledger;
    private final PlatformLog log;
    private final Counter appends;
    private final KeyClaims claims = new KeyClaims(KeyClaims.MAX_KEYS);
    private final List<PendingRequest> pending = new ArrayList<>();
    private final Set<String> claimsInProgress = new HashSet<>();
    private final List<String> batch = new ArrayList<>();
    private boolean readInProgress;
    private boolean caughtUp;

    /** Result of looking for the owner of a key. */
    public enum Resolution {
        /** The log names the owner. */
        OWNED,
        /** The log did not append the claim, or no owner was read from the stream by the deadline. */
        NOT_CLAIMED,
        /** The key is so old that a record containing it may no longer be kept. */
        TOO_OLD
    }

    /** Receives the result for one key. */
    public interface Listener {
        /**
         * Called once when the search for the owner ends.
         *
         * @param resolution result of the search
         * @param owner the owner, null unless the result is {@link Resolution#OWNED}
         */
        void resolved(Resolution resolution, HostIdentity owner);
    }

    private record PendingRequest(String key, long deadlineMicros, Listener listener) {}

    /**
     * Creates the service.
     *
     * @param loop loop that runs the callbacks
     * @param self identity of this host, including its incarnation
     * @param ledger ledger that records the keys owned by this host
     * @param log the platform's log
     * @param metrics registry for the number of appends
     */
    public KeyClaimService(
            DecisionLoop loop, HostIdentity self, IdempotencyLedger ledger, PlatformLog log, MetricRegistry metrics) {
        this.ledger = ledger;
        this.loop = loop;
        this.self = self;
        this.log = log;
        this.appends = metrics.counter("claims.appends");
    }

    /**
     * Finds the owner of a key, and claims the key for this host if it has none.
     *
     * @param key a {@link UuidV7Key}
     * @param deadlineMicros time in microseconds on this host's clock at which the search is given up
     * @param listener receives the result, on the loop
     */
    public void resolve(String key, long deadlineMicros, Listener listener) {
        pending.add(new PendingRequest(key, deadlineMicros, listener));
        if (claims.ownerOf(key).isPresent() && caughtUp) {
            resolveOwned();
            return;
        }
        if (pending.size() == 1) {
            caughtUp = false;
        }
        readNext();
    }

    /**
     * Claims keys without an owner. Called only at the end of the stream, so that a key that is too old is never
     * claimed.
     */
    private void claimUnowned() {
        for (PendingRequest request : pending) {
            boolean unowned = claims.ownerOf(request.key()).isEmpty() && !isTooOld(request.key());
            if (unowned && claimsInProgress.add(request.key())) {
                batch.add(request.key());
                if (batch.size() == 1) {
                    loop.schedule(BATCH_DELAY_MICROS, this::appendBatch);
                }
            }
        }
    }

    private boolean isTooOld(String key) {
        return claims.isTooOld(UuidV7Key.timeMillis(key).orElse(0));
    }

    private void appendBatch() {
        List<String> keys = List.copyOf(batch);
        batch.clear();
        if (keys.isEmpty()) {
            return;
        }
        byte[] value;
        try {
            value = MAPPER.writeValueAsBytes(
                    new KeyClaims.ClaimRecord(self, System.currentTimeMillis(), keys, claims.history()));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("claim cannot be written as JSON", failure);
        }
        appends.inc();
        log.append(
                STREAM_NAME, claims.history(), value, result -> loop.execute(() -> handleAppendResult(keys, result)));
    }

    private void handleAppendResult(List<String> keys, PlatformLog.AppendResult result) {
        if (result == PlatformLog.AppendResult.NOT_APPENDED) {
            claimsInProgress.removeAll(keys);
            resolveMatching(request -> keys.contains(request.key()), Resolution.NOT_CLAIMED);
        } else {
            // Reads after an unknown result as well: the record may be in the stream.
            readNext();
        }
    }

    private void readNext() {
        if (readInProgress) {
            return;
        }
        readInProgress = true;
        log.read(STREAM_NAME, claims.nextOffset(), result -> loop.execute(() -> handleReadResult(result)));
    }

    private void handleReadResult(PlatformLog.ReadResult result) {
        readInProgress = false;
        if (result.available() && result.history() > claims.history()) {
            startHistory(result.history());
            readNext();
            return;
        }
        boolean current = result.available() && result.history() == claims.history();
        if (current) {
            result.entries().forEach(this::applyEntry);
            caughtUp = claims.nextOffset() >= result.nextOffset();
            if (caughtUp) {
                claims.markCaughtUp(System.currentTimeMillis());
            }
            resolveOwned();
            if (caughtUp) {
                claimUnowned();
            }
        }
        long now = loop.nowMicros();
        resolveMatching(request -> now >= request.deadlineMicros(), Resolution.NOT_CLAIMED);
        if (!pending.isEmpty()) {
            boolean moreToRead = current && !caughtUp;
            loop.schedule(moreToRead ? 0 : POLL_INTERVAL_MICROS, this::readNext);
        }
    }

    private void startHistory(long history) {
        LOG.warn(
                "log restored from an older copy: history={} before={}; claims are read again",
                history,
                claims.history());
        claims.startHistory(history);
        caughtUp = false;
        // Claims that were decided on what the earlier history held are decided again.
        batch.clear();
        claimsInProgress.clear();
    }

    private void applyEntry(PlatformLog.Entry entry) {
        KeyClaims.ClaimRecord claim = parse(entry);
        List<String> newlyOwned = claims.addRecord(entry.offset(), claim);
        if (claim.owner().equals(self)) {
            newlyOwned.forEach(ledger::adopt);
        }
    }

    private KeyClaims.ClaimRecord parse(PlatformLog.Entry entry) {
        try {
            return MAPPER.readValue(entry.value(), KeyClaims.ClaimRecord.class);
        } catch (IOException malformed) {
            LOG.warn(
                    "record at offset {} of stream {} is malformed: {}",
                    entry.offset(),
                    STREAM_NAME,
                    malformed.getMessage());
            return new KeyClaims.ClaimRecord(self, 0, List.of(), 0);
        }
    }

    private void resolveOwned() {
        for (PendingRequest request : List.copyOf(pending)) {
            Optional<HostIdentity> owner = claims.ownerOf(request.key());
            if (owner.isPresent()) {
                pending.remove(request);
                claimsInProgress.remove(request.key());
                request.listener().resolved(Resolution.OWNED, owner.get());
            }
        }
        if (caughtUp) {
            resolveMatching(request -> isTooOld(request.key()), Resolution.TOO_OLD);
        }
    }

    private void resolveMatching(Predicate<PendingRequest> condition, Resolution resolution) {
        for (PendingRequest request : List.copyOf(pending)) {
            if (condition.test(request)) {
                pending.remove(request);
                // A later attempt claims the key again. If the lost record appears too, the lower offset determines the
                // owner.
                claimsInProgress.remove(request.key());
                request.listener().resolved(resolution, null);
            }
        }
    }
}
