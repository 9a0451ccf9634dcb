package org.anvillatch.node.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Frames that are no messages of a node: each must end its connection and nothing else. */
class OddFramesTest {
    private static final int MUTATIONS = Integer.getInteger("anvillatch.seeds", 2_000);
    private static final byte NIL = (byte) 0xC0;
    private static final byte ARRAY_OF_ONE = (byte) 0x91;
    private static final byte MAP_OF_ONE = (byte) 0x81;
    private static final byte[] LARGEST_ARRAY = {(byte) 0xDD, 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF};
    private static final byte[] LARGEST_TEXT = {(byte) 0xDB, 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF};
    private static final byte[] LARGEST_BYTES = {(byte) 0xC6, 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF};

    private static byte[] repeat(byte value, int count) {
        byte[] bytes = new byte[count];
        Arrays.fill(bytes, value);
        return bytes;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    private static List<byte[]> oddBodies() {
        List<byte[]> bodies = new ArrayList<>(List.of(
                new byte[0],
                new byte[] {NIL},
                repeat(ARRAY_OF_ONE, 100_000),
                repeat(MAP_OF_ONE, 100_000),
                LARGEST_ARRAY,
                LARGEST_TEXT,
                LARGEST_BYTES,
                join(new byte[] {(byte) 0x9F}, repeat(NIL, 15)),
                join(new byte[] {(byte) 0x9F}, repeat((byte) 0x90, 15))));
        for (byte[] value : List.of(LARGEST_ARRAY, LARGEST_TEXT, LARGEST_BYTES, repeat(ARRAY_OF_ONE, 100_000))) {
            for (int position = 0; position < 4; position++) {
                byte[] start = join(new byte[] {(byte) 0x9F}, repeat((byte) 0x01, position));
                bodies.add(join(start, value));
            }
        }
        return bodies;
    }

    private static void decodeOnSmallStack(MessageKind kind, List<byte[]> bodies) throws Exception {
        FutureTask<Boolean> test = new FutureTask<>(() -> {
            for (byte[] body : bodies) {
                try {
                    FrameCodec.decodeBody(kind, body);
                } catch (FrameException malformed) {
                    assertThat(malformed.getMessage().length()).isLessThan(2_000);
                }
            }
            return true;
        });
        // The stack size of a node's threads.
        new Thread(null, test, "small stack", 256 * 1024).start();
        assertThat(test.get(60, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against an error of the virtual machine that a message raises (report of the odd entry). */
    @ParameterizedTest
    @EnumSource(MessageKind.class)
    void oddBodyIsAtMostMalformed(MessageKind kind) throws Exception {
        decodeOnSmallStack(kind, oddBodies());
    }

    /** Guards against the same for messages of which some bytes differ from what a node sends. */
    @Test
    void changedMessageIsAtMostMalformed() throws Exception {
        Member member = new Member(
                new HostIdentity("one", 7),
                3,
                "127.0.2.1:7403",
                "a",
                "desk",
                15,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                0);
        PeerMessage ping = new ControlMessages.Ping(member, List.of(member), 4);
        PeerMessage answer = new ControlMessages.LeavingAnswer(List.of("i-1@17"), 5);
        SplittableRandom random = new SplittableRandom(42);
        for (PeerMessage message : List.of(ping, answer)) {
            byte[] valid = FrameCodec.encodeBody(message);
            List<byte[]> bodies = new ArrayList<>();
            for (int index = 0; index < MUTATIONS; index++) {
                byte[] changed = Arrays.copyOf(valid, valid.length - random.nextInt(2) * random.nextInt(valid.length));
                for (int change = random.nextInt(3); change >= 0 && changed.length > 0; change--) {
                    changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
                }
                bodies.add(changed);
            }
            decodeOnSmallStack(MessageKind.of(message), bodies);
        }
    }

    @Test
    void lengthThatNoFrameHasIsMalformed() {
        for (int length : new int[] {-1, 0, Integer.MAX_VALUE, FrameCodec.MAX_FRAME_BYTES + 1}) {
            ByteBuffer bytes = ByteBuffer.allocate(16).putInt(0, length);
            assertThrows(FrameException.class, () -> FrameCodec.decode(bytes));
        }
    }

    /** Guards against messages without their parts, which fail in the decision loop and are never answered. */
    @Test
    void messageWithoutItsPartsIsMalformed() {
        for (MessageKind kind : List.of(
                MessageKind.of(new ControlMessages.LeavingNotice("one", List.of())),
                MessageKind.of(new ControlMessages.LeavingQuery("one")),
                MessageKind.of(new ControlMessages.Members(List.of())),
                MessageKind.of(new ControlMessages.Synchronize("one", new int[1], List.of(), 0)))) {
            assertWithMessage(kind.name())
                    .that(assertThrows(
                            FrameException.class, () -> FrameCodec.decodeBody(kind, new byte[] {(byte) 0x90})))
                    .isNotNull();
        }
    }

    /** Guards against a digest that no view has. */
    @Test
    void digestWithoutBucketsIsMalformed() {
        byte[] message = {(byte) 0x94, (byte) 0xA1, 'o', (byte) 0x90, (byte) 0x90, 0};
        MessageKind kind = MessageKind.of(new ControlMessages.Synchronize("one", new int[1], List.of(), 0));
        assertThrows(FrameException.class, () -> FrameCodec.decodeBody(kind, message));
    }
}
