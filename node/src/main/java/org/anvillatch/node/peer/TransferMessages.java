package org.anvillatch.node.peer;

/**
 * Messages that carry a message with a large body in parts. The frame of each has the correlation of the large message,
 * and the flag that tells whether it is an answer. Stateless.
 */
final class TransferMessages {
    private TransferMessages() {}

    /**
     * Begins a transfer. The body follows after a {@link Grant}.
     *
     * @param kind code of the kind of the large message
     * @param bodyLength length of its body in bytes
     * @param message the encoded message with an empty body
     */
    record Start(int kind, int bodyLength, byte[] message) implements PeerMessage {}

    /**
     * Permits the sender to send further bytes of the body.
     *
     * @param bytes number of bytes, in addition to those permitted before
     */
    record Grant(int bytes) implements PeerMessage {}

    /**
     * Carries the next bytes of the body.
     *
     * @param bytes the bytes
     */
    record Data(byte[] bytes) implements PeerMessage {}

    /**
     * Ends a transfer before its last byte.
     *
     * @param bySender whether the sender ends it; otherwise the receiver refuses the message
     */
    record End(boolean bySender) implements PeerMessage {}
}
