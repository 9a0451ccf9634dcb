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
 * Finds the owner of keys that callers chose, by claims on the platform's log: claims of a short while share one append, and
 * the first offset that names a key decides. Owned by the decision loop.
 *
 * <p>Invariants: an owner is named only from a record that was read back; each request is answered exactly once.
 */
public final class KeyClaimService {
    /** Name of the stream. */
    public static final String STREAM_NAME = "claims";

    private static final Logger LOG = LoggerFactory.getLogger(KeyClaimService.class);
    private static final long BATCH_MICROS = 20_000;
    private static final long POLL_MICROS = 20_000;
    private static final ObjectMapper MAPPER = FrameCodec.configure(new ObjectMapper());

    private final DecisionLoop loop;
    private final HostIdentity self;
    private final IdempotencyLedger ledger;
    private final PlatformLog log;
    private final Counter appends;
    private final KeyClaims claims = new KeyClaims(KeyClaims.CAPACITY);
    private final List<Pending> pending = new ArrayList<>();
    private final Set<String> claimedHere = new HashSet<>();
    private final List<String> batch = new ArrayList<>();
    private boolean reading;
    private boolean caughtUp;

    /** What is known about the owner of a key. */
    public enum Resolution {
        /** The owner is named by the log. */
        OWNED,
        /** The claim was not written; nothing is claimed. */
        NOT_CLAIMED,
        /** A record that may name the key is no longer held. */
        TOO_OLD
    }

    /** Receiver of a resolution. */
    public interface Listener {
        /**
         * The key is resolved.
         *
         * @param resolution what is known
         * @param owner the owner, null unless it is known
         */
        void resolved(Resolution resolution, HostIdentity owner);
    }

    private record Pending(String key, long deadlineMicros, Listener listener) {}

    /**
     * Creates the service.
     *
     * @param loop runs callbacks
     * @param self this life of the host
     * @param ledger takes the keys that this host claims first
     * @param log the platform's log
     * @param metrics registry for the count of appends
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
     * Finds the owner of a key, claiming it for this host if nobody has.
     *
     * @param key a {@link UuidV7Key}
     * @param deadlineMicros longest wait, on this host's clock
     * @param listener receives the resolution, on the loop
     */
    public void resolve(String key, long deadlineMicros, Listener listener) {
        pending.add(new Pending(key, deadlineMicros, listener));
        if (claims.ownerOf(key).isPresent() && caughtUp) {
            settle();
            return;
        }
        if (pending.size() == 1) {
            caughtUp = false;
        }
        read();
    }

    /** Claims only after the stream was read, so that a key that is too old is never claimed. */
    private void claimUnowned() {
        for (Pending request : pending) {
            boolean unowned = claims.ownerOf(request.key()).isEmpty() && !isTooOld(request.key());
            if (unowned && claimedHere.add(request.key())) {
                batch.add(request.key());
                if (batch.size() == 1) {
                    loop.schedule(BATCH_MICROS, this::appendBatch);
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
        byte[] value;
        try {
            value = MAPPER.writeValueAsBytes(new KeyClaims.ClaimRecord(self, System.currentTimeMillis(), keys));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("claim cannot be written as JSON", failure);
        }
        appends.inc();
        log.append(STREAM_NAME, value, result -> loop.execute(() -> appended(keys, result)));
    }

    private void appended(List<String> keys, PlatformLog.AppendResult result) {
        if (result == PlatformLog.AppendResult.NOT_APPENDED) {
            claimedHere.removeAll(keys);
            end(request -> keys.contains(request.key()), Resolution.NOT_CLAIMED);
        } else {
            // Also if the answer was lost: the record may be in the stream.
            read();
        }
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        log.read(STREAM_NAME, claims.nextOffset(), result -> loop.execute(() -> taken(result)));
    }

    private void taken(PlatformLog.ReadResult result) {
        reading = false;
        if (result.available()) {
            result.entries().forEach(this::take);
            caughtUp = claims.nextOffset() >= result.nextOffset();
            settle();
            if (caughtUp) {
                claimUnowned();
            }
        }
        long now = loop.nowMicros();
        end(request -> now >= request.deadlineMicros(), Resolution.NOT_CLAIMED);
        if (!pending.isEmpty()) {
            boolean moreToRead = result.available() && !caughtUp;
            loop.schedule(moreToRead ? 0 : POLL_MICROS, this::read);
        }
    }

    private void take(PlatformLog.Entry entry) {
        KeyClaims.ClaimRecord claim = parse(entry);
        List<String> first = claims.take(entry.offset(), claim);
        if (claim.owner().equals(self)) {
            first.forEach(ledger::adopt);
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
            return new KeyClaims.ClaimRecord(self, 0, List.of());
        }
    }

    private void settle() {
        for (Pending request : List.copyOf(pending)) {
            Optional<HostIdentity> owner = claims.ownerOf(request.key());
            if (owner.isPresent()) {
                pending.remove(request);
                claimedHere.remove(request.key());
                request.listener().resolved(Resolution.OWNED, owner.get());
            }
        }
        if (caughtUp) {
            end(request -> isTooOld(request.key()), Resolution.TOO_OLD);
        }
    }

    private void end(Predicate<Pending> condition, Resolution resolution) {
        for (Pending request : List.copyOf(pending)) {
            if (condition.test(request)) {
                pending.remove(request);
                // A later attempt claims again: if the lost record turns up after all, the first offset still decides.
                claimedHere.remove(request.key());
                request.listener().resolved(resolution, null);
            }
        }
    }
}
