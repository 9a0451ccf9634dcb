package org.anvillatch.node.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.memory.MemoryBudget;
import org.anvillatch.node.memory.Reservation;

/**
 * The messages with large bodies that are being transferred on one connection, in both directions.
 *
 * <p>Invariants: the receiver has reserved the memory of a body before it permits a byte of it; at most
 * {@link #WINDOW_BYTES} of a body are sent beyond what the receiver has taken; a message is delivered only with its whole
 * body; all reservations of incomplete messages are released at the close. Thread safe.
 */
final class PeerTransfers {
    /** Maximum bytes of one body on their way, which take 15 ms at the 140 Mbit/s of a host. */
    static final int WINDOW_BYTES = 256 * 1024;

    /** Maximum bytes of one part: a small message waits for at most one part on its connection. */
    static final int PART_BYTES = 32 * 1024;

    /** What a connection does for its transfers. */
    interface Carrier {
        /** Sends a control message of a transfer. */
        void sendControl(Frame frame);

        /** Called when a part may be written. */
        void partReady();

        /** Delivers a message whose body is complete. */
        void deliver(Frame frame);

        /** Called when a message was refused for lack of memory; it has not been delivered. */
        void refuse(Frame messageWithoutBody);

        /** Called when a large answer to a request has begun. */
        void answerStarted(long correlation);
    }

    private record Key(long correlation, boolean answer) {}

    private static final class Outgoing {
        private final Key key;
        private final CallBody body;
        private final Deque<ByteBuffer> segments;
        private int remaining;
        private int permitted;

        private Outgoing(Key key, CallBody body) {
            this.key = key;
            this.body = body;
            this.segments = new ArrayDeque<>(List.of(body.segments()));
            this.remaining = body.length();
        }
    }

    private static final class Incoming {
        private final PeerMessage message;
        private final int length;
        private final Reservation reservation;
        private final List<ByteBuffer> segments = new ArrayList<>();
        private MemoryBudget.Waiter waiter;
        private int received;
        private int permitted;

        private Incoming(PeerMessage message, int length, Reservation reservation) {
            this.message = message;
            this.length = length;
            this.reservation = reservation;
        }
    }

    private final MemoryBudget budget;
    private final Carrier carrier;
    private final Map<Key, Outgoing> outgoing = new LinkedHashMap<>();
    private final Map<Key, Incoming> incoming = new HashMap<>();
    private boolean closed;

    PeerTransfers(MemoryBudget budget, Carrier carrier) {
        this.budget = budget;
        this.carrier = carrier;
    }

    /** Returns the body of a message that must be transferred in parts, or null. */
    static CallBody largeBodyOf(PeerMessage message) {
        CallBody body = null;
        if (message instanceof DispatchMessage dispatch) {
            body = dispatch.body();
        } else if (message instanceof CallAnswer answer) {
            body = answer.body();
        }
        return body != null && body.isLarge() ? body : null;
    }

    private static PeerMessage withBody(PeerMessage message, CallBody body) {
        return message instanceof DispatchMessage dispatch
                ? dispatch.withBody(body)
                : ((CallAnswer) message).withBody(body);
    }

    /** Prepares a transfer and returns the message that begins it. */
    TransferMessages.Start open(Frame frame, CallBody body) throws FrameException {
        CallBody withoutContent = new CallBody(body.contentType(), new byte[0]);
        byte[] encoded = FrameCodec.encodeBody(withBody(frame.message(), withoutContent));
        Key key = new Key(frame.correlation(), frame.answer());
        synchronized (this) {
            if (!closed) {
                outgoing.put(key, new Outgoing(key, body));
            }
        }
        return new TransferMessages.Start(MessageKind.of(frame.message()).code(), body.length(), encoded);
    }

    /**
     * Returns the next part that may be written, as its frame and the bytes after it, or null. Transfers take turns.
     */
    ByteBuffer[] nextPart() {
        CallBody finished = null;
        ByteBuffer[] part = null;
        synchronized (this) {
            for (Outgoing transfer : outgoing.values()) {
                if (transfer.permitted > 0) {
                    part = takePart(transfer);
                    outgoing.remove(transfer.key);
                    if (transfer.remaining > 0) {
                        outgoing.put(transfer.key, transfer);
                    } else if (transfer.key.answer) {
                        finished = transfer.body;
                    }
                    break;
                }
            }
        }
        if (finished != null) {
            // The last part still refers to its segment; the body of a request is kept for a retry.
            finished.release();
        }
        return part;
    }

    private static ByteBuffer[] takePart(Outgoing transfer) {
        ByteBuffer segment = transfer.segments.peek();
        int length = Math.min(PART_BYTES, Math.min(segment.remaining(), transfer.permitted));
        ByteBuffer bytes = segment.slice(segment.position(), length);
        segment.position(segment.position() + length);
        if (!segment.hasRemaining()) {
            transfer.segments.remove();
        }
        transfer.remaining -= length;
        transfer.permitted -= length;
        return new ByteBuffer[] {
            FrameCodec.encodeDataHeader(transfer.key.correlation, transfer.key.answer, length), bytes
        };
    }

    /**
     * Ends an outgoing request.
     *
     * @return true if its last byte was not sent, so that the receiver never delivers it
     */
    boolean cancelRequest(long correlation) {
        Outgoing cancelled;
        synchronized (this) {
            cancelled = outgoing.remove(new Key(correlation, false));
        }
        if (cancelled == null) {
            return false;
        }
        carrier.sendControl(new Frame(correlation, false, new TransferMessages.End(true)));
        return true;
    }

    /** Handles a received message of a transfer; returns false if it belongs to none. */
    boolean receive(Frame frame) throws FrameException {
        Key key = new Key(frame.correlation(), frame.answer());
        if (frame.message() instanceof TransferMessages.Start start) {
            begin(key, start);
        } else if (frame.message() instanceof TransferMessages.Data data) {
            take(key, data.bytes());
        } else if (frame.message() instanceof TransferMessages.Grant grant) {
            permit(key, grant.bytes());
        } else if (frame.message() instanceof TransferMessages.End end) {
            end(key, end.bySender());
        } else {
            return false;
        }
        return true;
    }

    private void begin(Key key, TransferMessages.Start start) throws FrameException {
        MessageKind kind = MessageKind.fromCode(start.kind());
        if (kind != MessageKind.DISPATCH && kind != MessageKind.CALL_ANSWER || start.bodyLength() <= 0) {
            throw new FrameException(
                    "transfer of kind " + start.kind() + " and " + start.bodyLength() + " bytes is not possible", null);
        }
        PeerMessage message = FrameCodec.decodeBody(kind, start.message());
        int length = start.bodyLength();
        if (kind == MessageKind.CALL_ANSWER) {
            carrier.answerStarted(key.correlation);
            beginAnswer(key, message, length);
        } else if (budget.tryReserve(length, MemoryBudget.Holder.LARGE)) {
            Incoming transfer = new Incoming(message, length, new Reservation(budget, length));
            if (put(key, transfer)) {
                grant(key, transfer);
            }
        } else {
            carrier.refuse(new Frame(key.correlation, key.answer, message));
            carrier.sendControl(new Frame(key.correlation, key.answer, new TransferMessages.End(false)));
        }
    }

    private void beginAnswer(Key key, PeerMessage message, int length) throws FrameException {
        if (!budget.canEverFit(length)) {
            throw new FrameException("answer of " + length + " bytes exceeds the memory of this host", null);
        }
        Incoming transfer = new Incoming(message, length, new Reservation(budget, 0));
        if (!put(key, transfer)) {
            return;
        }
        MemoryBudget.Waiter waiter = budget.reserveOrWait(length, () -> granted(key, transfer));
        if (waiter == null) {
            granted(key, transfer);
        } else {
            setWaiter(transfer, waiter);
        }
    }

    private void setWaiter(Incoming transfer, MemoryBudget.Waiter waiter) {
        boolean abandoned;
        synchronized (this) {
            transfer.waiter = waiter;
            abandoned = closed;
        }
        if (abandoned) {
            // Without the lock, since this may grant the bytes to a transfer of another connection.
            waiter.cancel();
        }
    }

    private void granted(Key key, Incoming transfer) {
        transfer.reservation.add(transfer.length);
        grant(key, transfer);
    }

    private boolean put(Key key, Incoming transfer) throws FrameException {
        synchronized (this) {
            if (!closed) {
                if (incoming.putIfAbsent(key, transfer) != null) {
                    transfer.reservation.close();
                    throw new FrameException("transfer " + key.correlation + " is open already", null);
                }
                return true;
            }
        }
        transfer.reservation.close();
        return false;
    }

    private void grant(Key key, Incoming transfer) {
        int bytes;
        synchronized (this) {
            bytes = Math.min(transfer.length, transfer.received + WINDOW_BYTES) - transfer.permitted;
            // Half of the window at a time, so that few grants are sent; the rest of a body at once.
            if (bytes < WINDOW_BYTES / 2 && transfer.permitted + bytes < transfer.length || bytes == 0) {
                return;
            }
            transfer.permitted += bytes;
        }
        carrier.sendControl(new Frame(key.correlation, key.answer, new TransferMessages.Grant(bytes)));
    }

    private void take(Key key, byte[] bytes) throws FrameException {
        Incoming transfer;
        boolean complete;
        synchronized (this) {
            transfer = incoming.get(key);
            if (transfer == null) {
                // It was ended here while the part was on its way.
                return;
            }
            if (bytes.length > transfer.permitted - transfer.received) {
                throw new FrameException("transfer " + key.correlation + " exceeds its window", null);
            }
            transfer.segments.add(ByteBuffer.wrap(bytes));
            transfer.received += bytes.length;
            complete = transfer.received == transfer.length;
            if (complete) {
                incoming.remove(key);
            }
        }
        if (!complete) {
            grant(key, transfer);
            return;
        }
        CallBody body = new CallBody(contentTypeOf(transfer.message), transfer.segments, transfer.reservation);
        carrier.deliver(new Frame(key.correlation, key.answer, withBody(transfer.message, body)));
    }

    private static String contentTypeOf(PeerMessage message) {
        return message instanceof DispatchMessage dispatch
                ? dispatch.body().contentType()
                : ((CallAnswer) message).body().contentType();
    }

    private void permit(Key key, int bytes) throws FrameException {
        synchronized (this) {
            Outgoing transfer = outgoing.get(key);
            if (transfer == null) {
                return;
            }
            if (bytes <= 0 || bytes > transfer.remaining - transfer.permitted) {
                throw new FrameException("grant of " + bytes + " bytes is not possible", null);
            }
            transfer.permitted += bytes;
        }
        carrier.partReady();
    }

    private void end(Key key, boolean bySender) {
        if (!bySender) {
            Outgoing refused;
            synchronized (this) {
                refused = outgoing.remove(key);
            }
            if (refused != null && key.answer) {
                refused.body.release();
            }
            return;
        }
        Incoming ended;
        synchronized (this) {
            ended = incoming.remove(key);
        }
        if (ended != null) {
            abandon(ended);
        }
    }

    private void abandon(Incoming transfer) {
        MemoryBudget.Waiter waiter;
        synchronized (this) {
            waiter = transfer.waiter;
        }
        if (waiter != null) {
            waiter.cancel();
        }
        transfer.reservation.close();
    }

    /** Ends all transfers. */
    void close() {
        List<Incoming> abandoned;
        List<Outgoing> unsent;
        synchronized (this) {
            closed = true;
            abandoned = List.copyOf(incoming.values());
            unsent = List.copyOf(outgoing.values());
            incoming.clear();
        }
        abandoned.forEach(this::abandon);
        for (Outgoing transfer : unsent) {
            if (transfer.key.answer) {
                transfer.body.release();
            }
        }
    }
}
