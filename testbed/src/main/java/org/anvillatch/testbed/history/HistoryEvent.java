package org.anvillatch.testbed.history;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One observation of a caller or an endpoint. Written to history files as JSON. Immutable and thread safe.
 *
 * @param atMicros time in microseconds of the monotonic clock that all processes on the machine share
 * @param kind what was observed
 * @param place who observed it: name of the endpoint, or {@code caller}
 * @param root identity of the root request, null for lifecycle events
 * @param attempt number of the caller's attempt, 0 for the first
 * @param path position of the call in its call tree; equal to {@code root} for the root request itself
 * @param execution identity that the host assigned to the execution
 * @param operation {@code service/operation}; only the service for lifecycle events
 * @param importance importance level, 0 for the least important
 * @param outcome outcome in the answer
 * @param reason reason for a refusal
 * @param effect identity of the side effect of an operation that is not idempotent, else null
 * @param intact whether every byte of the answer was as expected; true for events without an answer
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
    /** What was observed. */
    public enum Kind {
        /** A caller sends an attempt of a root request; nested calls record none. */
        INVOKE,
        /** A caller or a parent execution has received the answer to its attempt or nested call. */
        ANSWER,
        /** An endpoint starts an execution. */
        START,
        /** An endpoint has finished an execution. */
        END,
        /** An endpoint starts to announce itself to its host. */
        ANNOUNCE,
        /** An endpoint has deregistered from its host. */
        LEAVE,
        /** An endpoint executes a request that crashes it. */
        POISON,
        /** An endpoint has crashed. */
        CRASH
    }

    /**
     * Creates an event of an endpoint's lifecycle.
     *
     * @param atMicros when it was observed, in microseconds
     * @param kind what was observed
     * @param place name of the endpoint
     * @param service name of its service
     * @return the event
     */
    public static HistoryEvent lifecycle(long atMicros, Kind kind, String place, String service) {
        return new HistoryEvent(atMicros, kind, place, null, 0, null, null, service, 0, null, null, null, true);
    }
}
