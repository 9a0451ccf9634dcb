package org.anvillatch.node.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.rejection.CallProgress;
import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.CallBody;
import org.anvillatch.node.call.CallContext;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.memory.MemoryBudget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests transfers between two hosts whose frames the test carries. */
class PeerTransfersTest {
    private static final int LENGTH = 1_000_000;

    private final Side sender = new Side(new MemoryBudget(10_000_000, 0));
    private final MemoryBudget receiverBudget = new MemoryBudget(3_000_000, 0);
    private final Side receiver = new Side(receiverBudget);

    /** One side of a connection: encodes what it sends, so that frames are tested as bytes. */
    private static final class Side implements PeerTransfers.Carrier {
        private final PeerTransfers transfers;
        private final Deque<byte[]> sent = new ArrayDeque<>();
        private final List<PeerMessage> delivered = new ArrayList<>();
        private final List<Frame> refused = new ArrayList<>();
        private final List<Long> startedAnswers = new ArrayList<>();

        private Side(MemoryBudget budget) {
            transfers = new PeerTransfers(budget, this);
        }

        @Override
        public void sendControl(Frame frame) {
            try {
                sent.add(FrameCodec.encode(frame).array());
            } catch (FrameException failure) {
                throw new AssertionError(failure);
            }
        }

        @Override
        public void partReady() {}

        @Override
        public void deliver(Frame frame) {
            delivered.add(frame.message());
        }

        @Override
        public void refuse(Frame messageWithoutBody) {
            refused.add(messageWithoutBody);
        }

        @Override
        public void answerStarted(long correlation) {
            startedAnswers.add(correlation);
        }

        private void send(long correlation, boolean answer, PeerMessage message) throws FrameException {
            CallBody body = PeerTransfers.largeBodyOf(message);
            Frame frame = new Frame(correlation, answer, message);
            sendControl(new Frame(correlation, answer, transfers.open(frame, body)));
        }

        /** Sends all parts that are permitted now and returns their bytes. */
        private int sendParts() {
            int bytes = 0;
            ByteBuffer[] part = transfers.nextPart();
            while (part != null) {
                ByteBuffer joined = ByteBuffer.allocate(part[0].remaining() + part[1].remaining());
                bytes += part[1].remaining();
                sent.add(joined.put(part[0]).put(part[1]).array());
                part = transfers.nextPart();
            }
            return bytes;
        }

        private void receiveAll(Side from) throws FrameException {
            while (!from.sent.isEmpty()) {
                Optional<Frame> frame = FrameCodec.decode(ByteBuffer.wrap(from.sent.remove()));
                assertThat(transfers.receive(frame.get())).isTrue();
            }
        }
    }

    private static CallBody body(long seed) {
        byte[] content = new byte[LENGTH];
        new SplittableRandom(seed).nextBytes(content);
        return new CallBody("text/plain", content);
    }

    private static DispatchMessage dispatch(CallBody body) {
        return new DispatchMessage(
                new CallContext("r", 0, "r", 3, false, ""),
                new OperationName("desk", "apply"),
                false,
                body,
                "00ff",
                900_000,
                2,
                null,
                null,
                CallProgress.NONE);
    }

    private static CallAnswer answer(CallBody body) {
        return CallAnswer.refused(null, "", CallAnswer.LoadReport.NONE, 0, "h").withBody(body);
    }

    /** Carries frames in both directions until none is left; returns the maximum number of bytes sent at once. */
    private int exchangeAll() throws FrameException {
        int max = 0;
        do {
            receiver.receiveAll(sender);
            sender.receiveAll(receiver);
            max = Math.max(max, sender.sendParts());
        } while (!sender.sent.isEmpty());
        return max;
    }

    /** Guards against bodies that arrive incomplete or mixed, and against more bytes on their way than the window. */
    @Test
    void twoBodiesArriveWholeWithinTheirWindows() throws FrameException {
        CallBody first = body(1);
        CallBody second = body(2);
        sender.send(1, false, dispatch(first));
        sender.send(2, false, dispatch(second));
        assertThat(exchangeAll()).isAtMost(2 * PeerTransfers.WINDOW_BYTES);
        assertThat(receiver.delivered).hasSize(2);
        DispatchMessage delivered = (DispatchMessage) receiver.delivered.get(0);
        assertThat(delivered.body().content()).isEqualTo(first.content());
        assertThat(delivered.body().contentType()).isEqualTo("text/plain");
        assertThat(delivered.context()).isEqualTo(dispatch(first).context());
        assertThat(((DispatchMessage) receiver.delivered.get(1)).body().content())
                .isEqualTo(second.content());
        assertThat(receiverBudget.reservedBytes()).isEqualTo(2 * LENGTH);
        receiver.delivered.forEach(message -> ((DispatchMessage) message).body().release());
        assertThat(receiverBudget.reservedBytes()).isEqualTo(0);
    }

    /** Guards against a receiver that runs out of memory; a refused request is not delivered. */
    @Test
    void requestWithoutMemoryIsRefused() throws FrameException {
        assertThat(receiverBudget.tryReserve(2_500_000, MemoryBudget.Holder.LARGE))
                .isTrue();
        sender.send(1, false, dispatch(body(1)));
        assertThat(exchangeAll()).isEqualTo(0);
        assertThat(receiver.delivered).isEmpty();
        assertThat(receiver.refused.get(0).correlation()).isEqualTo(1);
        assertThat(sender.transfers.cancelRequest(1)).isFalse();
    }

    /** Guards against an answer that is discarded for lack of memory. */
    @Test
    void answerWaitsForMemory() throws FrameException {
        assertThat(receiverBudget.tryReserve(2_500_000, MemoryBudget.Holder.LARGE))
                .isTrue();
        CallBody body = body(1);
        sender.send(1, true, answer(body));
        assertThat(exchangeAll()).isEqualTo(0);
        assertThat(receiver.startedAnswers).containsExactly(1L);
        receiverBudget.release(2_500_000);
        exchangeAll();
        CallAnswer delivered = (CallAnswer) receiver.delivered.get(0);
        assertThat(delivered.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(delivered.body().content()).isEqualTo(body.content());
    }

    /** Guards against "not run" for a request that was sent whole, and against memory of cancelled transfers. */
    @Test
    void cancelledRequestIsNeverDelivered() throws FrameException {
        sender.send(1, false, dispatch(body(1)));
        receiver.receiveAll(sender);
        sender.receiveAll(receiver);
        sender.sendParts();
        assertThat(sender.transfers.cancelRequest(1)).isTrue();
        exchangeAll();
        assertThat(receiver.delivered).isEmpty();
        assertThat(receiverBudget.reservedBytes()).isEqualTo(0);
        sender.send(2, false, dispatch(body(2)));
        exchangeAll();
        assertThat(sender.transfers.cancelRequest(2)).isFalse();
    }

    @Test
    void memoryOfIncompleteTransfersIsReleasedAtTheClose() throws FrameException {
        sender.send(1, false, dispatch(body(1)));
        receiver.receiveAll(sender);
        assertThat(receiverBudget.tryReserve(1_900_000, MemoryBudget.Holder.LARGE))
                .isTrue();
        sender.send(2, true, answer(body(2)));
        receiver.receiveAll(sender);
        receiver.transfers.close();
        receiverBudget.release(1_900_000);
        assertThat(receiverBudget.reservedBytes()).isEqualTo(0);
    }

    /** Guards against a sender that ignores the window, so that the receiver allocates what it has not reserved. */
    @Test
    void partBeyondTheWindowIsAnError() throws FrameException {
        sender.send(1, false, dispatch(body(1)));
        receiver.receiveAll(sender);
        Frame part = new Frame(1, false, new TransferMessages.Data(new byte[PeerTransfers.WINDOW_BYTES + 1]));
        assertThrows(FrameException.class, () -> receiver.transfers.receive(part));
    }
}
