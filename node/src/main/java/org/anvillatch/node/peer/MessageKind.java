package org.anvillatch.node.peer;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.KeyedCallMessage;

/**
 * Kinds of peer messages and the record classes that carry them. A kind's code identifies it on the wire and never
 * changes. Immutable and thread safe.
 */
public enum MessageKind {
    /** Checks whether a host is alive. */
    PING(1, ControlMessages.Ping.class),
    /** Answers a ping. */
    PING_ANSWER(2, ControlMessages.PingAnswer.class),
    /** Asks a host to ping another host. */
    INDIRECT_PING(3, ControlMessages.IndirectPing.class),
    /** Compares the membership views of two hosts. */
    SYNCHRONIZE(4, ControlMessages.Synchronize.class),
    /** Sends a call to the gatekeeper of the host that is to run it. */
    DISPATCH(5, DispatchMessage.class),
    /** Answers a dispatch or a keyed call. */
    CALL_ANSWER(6, CallAnswer.class),
    /** Cancels a dispatch or a keyed call. */
    CANCEL(7, ControlMessages.Cancel.class),
    /** Sends a call that carries an idempotency key to the host that owns the key. */
    KEYED_CALL(8, KeyedCallMessage.class),
    /** Requests the configuration that a host holds. */
    CONFIGURATION_REQUEST(9, ControlMessages.ConfigurationRequest.class),
    /** Sends configuration records or a snapshot, as an answer or as a push without a request. */
    CONFIGURATION_ANSWER(10, ControlMessages.ConfigurationAnswer.class),
    /** Reports requests that are suspected of crashing endpoints. */
    SUSPICIONS(11, ControlMessages.Suspicions.class),
    /** Acknowledges a message. */
    ACKNOWLEDGE(12, ControlMessages.Acknowledge.class),
    /** Requests decisions that a host keeps in memory. */
    DECISIONS_REQUEST(13, ControlMessages.DecisionsRequest.class),
    /** Answers with decisions. */
    DECISIONS_ANSWER(14, ControlMessages.DecisionsAnswer.class),
    /** Requests the state of a host. */
    STATUS_REQUEST(15, ControlMessages.StatusRequest.class),
    /** Answers with the state of a host. */
    STATUS_ANSWER(16, ControlMessages.StatusAnswer.class),
    /** Answers a comparison of membership views. */
    SYNCHRONIZE_ANSWER(17, ControlMessages.SynchronizeAnswer.class),
    /** Sends the members in which two views differ. */
    MEMBERS(18, ControlMessages.Members.class),
    /** Requests the route table that a host holds. */
    ROUTE_TABLE_REQUEST(19, ControlMessages.RouteTableRequest.class),
    /** Answers with the route table. */
    ROUTE_TABLE_ANSWER(20, ControlMessages.RouteTableAnswer.class),
    /** Checks whether a connection still carries frames. */
    CONNECTION_CHECK(21, ControlMessages.ConnectionCheck.class),
    /** Begins the transfer of a message with a large body. */
    TRANSFER_START(22, TransferMessages.Start.class),
    /** Permits the sender of a transfer to send further bytes. */
    TRANSFER_GRANT(23, TransferMessages.Grant.class),
    /** Carries bytes of a large body. */
    TRANSFER_DATA(24, TransferMessages.Data.class),
    /** Ends a transfer before its last byte. */
    TRANSFER_END(25, TransferMessages.End.class),
    /** Asks the owner of slots of allowances for tokens. */
    TOKENS_REQUEST(26, AllowanceMessages.TokensRequest.class),
    /** Answers a request for tokens. */
    TOKENS_ANSWER(27, AllowanceMessages.TokensAnswer.class),
    /** Claims slots of allowances. */
    CLAIM_REQUEST(28, AllowanceMessages.ClaimRequest.class),
    /** Answers a claim of slots. */
    CLAIM_ANSWER(29, AllowanceMessages.ClaimAnswer.class),
    /** Tells a witness which processes of an endpoint are leaving. */
    LEAVING_NOTICE(30, ControlMessages.LeavingNotice.class),
    /** Asks a witness which processes of an endpoint are leaving. */
    LEAVING_QUERY(31, ControlMessages.LeavingQuery.class),
    /** Answers which processes of an endpoint are leaving. */
    LEAVING_ANSWER(32, ControlMessages.LeavingAnswer.class);

    private static final int MAX_CODE = 127;
    private static final MessageKind[] BY_CODE = new MessageKind[MAX_CODE + 1];
    private static final Map<Class<?>, MessageKind> BY_TYPE = new HashMap<>();

    static {
        for (MessageKind kind : values()) {
            BY_CODE[kind.code] = kind;
            BY_TYPE.put(kind.type, kind);
        }
    }

    private final int code;
    private final Class<? extends PeerMessage> type;

    MessageKind(int code, Class<? extends PeerMessage> type) {
        this.code = code;
        this.type = type;
    }

    /**
     * Returns the code on the wire.
     *
     * @return code from 1 to 127
     */
    public int code() {
        return code;
    }

    /**
     * Returns the class of the messages of this kind.
     *
     * @return a record class
     */
    public Class<? extends PeerMessage> type() {
        return type;
    }

    /**
     * Returns the kind with a code.
     *
     * @param code code on the wire
     * @return the kind, or null if the code is not assigned
     */
    public static MessageKind fromCode(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : null;
    }

    /**
     * Returns the kind of a message.
     *
     * @param message the message
     * @return its kind
     * @throws IllegalArgumentException if no kind has the class of the message
     */
    public static MessageKind of(PeerMessage message) {
        MessageKind kind = BY_TYPE.get(message.getClass());
        if (kind == null) {
            throw new IllegalArgumentException("no message kind for " + message.getClass());
        }
        return kind;
    }
}
