package org.anvillatch.testbed.history;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Something that a caller, an endpoint or an operator saw on its own side. Immutable and thread safe.
 *
 * @param atMicros monotonic clock of the machine, shared by its processes
 * @param kind what was seen
 * @param place who saw it
 * @param root identity of the root request
 * @param attempt number of the caller's send
 * @param path place of the call within its root request
 * @param execution identity that the host gave the execution
 * @param operation service and operation
 * @param importance position of the importance, 0 for the least
 * @param outcome outcome that the caller was told
 * @param reason reason of a refusal
 * @param effect identity of the effect, null unless the operation has one
 * @param intact whether every byte of the answer was right
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record HistoryEvent(
        long atMicros,
        Kind kind,
        String place,
        String root,
        int attempt,
        String path,
        String execution,
        String operation,
        int importance,
        String outcome,
        String reason,
        String effect,
        boolean intact) {
    /** What was seen. */
    public enum Kind {
        /** A caller or a parent execution sends a call. */
        INVOKE,
        /** The sender has its answer. */
        ANSWER,
        /** An endpoint starts an execution. */
        START,
        /** An endpoint has finished an execution. */
        END,
        /** An endpoint takes work. */
        ANNOUNCE,
        /** An endpoint has told its host that it leaves. */
        LEAVE,
        /** An endpoint runs a request that crashes it. */
        POISON,
        /** An endpoint has crashed. */
        CRASH
    }

    /**
     * Creates an event of an endpoint's life.
     *
     * @param atMicros when
     * @param kind what was seen
     * @param place name of the endpoint
     * @param service name of its service
     * @return the event
     */
    public static HistoryEvent lifecycle(long atMicros, Kind kind, String place, String service) {
        return new HistoryEvent(atMicros, kind, place, null, 0, null, null, service, 0, null, null, null, true);
    }
}
