package org.anvillatch.node.peer;

import java.util.HashMap;
import java.util.Map;

import org.anvillatch.node.call.CallAnswer;
import org.anvillatch.node.call.DispatchMessage;
import org.anvillatch.node.call.KeyedCallMessage;

/**
 * Kinds of messages and the types that carry them. A kind's code is its place on the wire and never changes. Immutable
 * and thread safe.
 */
public enum MessageKind {
    /** Asks whether a host is alive. */
    PING(1, ControlMessages.Ping.class),
    /** Answers a ping. */
    PING_ANSWER(2, ControlMessages.PingAnswer.class),
    /** Asks a host to ping another one. */
    INDIRECT_PING(3, ControlMessages.IndirectPing.class),
    /** Compares views. */
    SYNCHRONIZE(4, ControlMessages.Synchronize.class),
    /** Gives a gatekeeper a call to run. */
    DISPATCH(5, DispatchMessage.class),
    /** Answers a dispatch or an owned call. */
    CALL_ANSWER(6, CallAnswer.class),
    /** Withdraws a dispatch or an owned call. */
    CANCEL(7, ControlMessages.Cancel.class),
    /** Gives the owner of an idempotency key a call that carries the key. */
    OWNED_CALL(8, KeyedCallMessage.class),
    /** Asks for the configuration that a host holds. */
    CONFIGURATION_REQUEST(9, ControlMessages.ConfigurationRequest.class),
    /** Answers with the configuration. */
    CONFIGURATION_ANSWER(10, ControlMessages.ConfigurationAnswer.class),
    /** Spreads suspicions of requests that crash endpoints. */
    SUSPICIONS(11, ControlMessages.Suspicions.class),
    /** Confirms that something was received. */
    ACKNOWLEDGE(12, ControlMessages.Acknowledge.class),
    /** Asks for decisions that a host remembers. */
    DECISIONS_REQUEST(13, ControlMessages.DecisionsRequest.class),
    /** Answers with decisions. */
    DECISIONS_ANSWER(14, ControlMessages.DecisionsAnswer.class),
    /** Asks for the state of a host. */
    STATUS_REQUEST(15, ControlMessages.StatusRequest.class),
    /** Answers with the state of a host. */
    STATUS_ANSWER(16, ControlMessages.StatusAnswer.class),
    /** Answers a comparison. */
    SYNCHRONIZE_ANSWER(17, ControlMessages.SynchronizeAnswer.class),
    /** Hands members on. */
    MEMBERS(18, ControlMessages.Members.class),
    /** Asks for the route table that a host holds. */
    ROUTE_TABLE_REQUEST(19, ControlMessages.RouteTableRequest.class),
    /** Answers with the route table. */
    ROUTE_TABLE_ANSWER(20, ControlMessages.RouteTableAnswer.class),
    /** Asks for a sign of life on a connection. */
    CONNECTION_CHECK(21, ControlMessages.ConnectionCheck.class);

    private static final MessageKind[] BY_CODE = new MessageKind[values().length + 1];
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
     * Returns the number on the wire.
     *
     * @return 1 to 127
     */
    public int code() {
        return code;
    }

    /**
     * Returns the type that carries this kind.
     *
     * @return a record class
     */
    public Class<? extends PeerMessage> type() {
        return type;
    }

    /**
     * Finds the kind of a number.
     *
     * @param code number on the wire
     * @return the kind, or null if the number is not assigned
     */
    public static MessageKind fromCode(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : null;
    }

    /**
     * Finds the kind of a message.
     *
     * @param message the message
     * @return its kind
     */
    public static MessageKind of(PeerMessage message) {
        MessageKind kind = BY_TYPE.get(message.getClass());
        if (kind == null) {
            throw new IllegalArgumentException("no kind for " + message.getClass());
        }
        return kind;
    }
}
