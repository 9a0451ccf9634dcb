package org.anvillatch.node.listener;

import java.util.concurrent.TimeUnit;

/**
 * The state of one connection and the bytes that it has moved, from which follows whether its client is too slow. Time is
 * given by the caller, except for the beginning of a phase.
 *
 * <p>Thread safe: written by the thread that serves the connection, read by the sweeps; {@link #findProblem} is called by
 * one thread at a time.
 */
final class Progress {
    /** Class of connections that are never replaced by new ones. */
    static final int IN_USE = 4;

    /** Period over which the progress of a body or a response is measured, in nanoseconds. */
    static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Minimum bytes in a period, about 3 KB/s: a client with a window of 64 KiB reads in steps of 32 KiB. */
    static final long MIN_BYTES = 32 * 1024;

    /** Number of periods after which a body or a response of any length must be complete. */
    static final int MAX_PERIODS = 6;

    private static final long MIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** What the connection does. */
    private enum Phase {
        IDLE,
        HEAD,
        BODY,
        PROCESSING
    }

    private volatile Phase phase = Phase.IDLE;
    private volatile long phaseStartNanos = System.nanoTime();
    private volatile long bytesRead;
    private volatile long bytesWritten;
    private volatile long bodyLength;
    private volatile long responseLength;
    private volatile boolean used;
    private volatile boolean writing;

    /** Start of the current period, and the bytes moved until then; -1 if nothing is being measured. */
    private long periodStartNanos = -1;

    private long periodBytes;
    private Phase measuredPhase = Phase.IDLE;

    @SuppressWarnings("NonAtomicOperationOnVolatileField") // Only one thread at a time reads a connection.
    void read(int bytes) {
        bytesRead += bytes;
        if (phase == Phase.IDLE) {
            enter(Phase.HEAD);
        }
    }

    @SuppressWarnings("NonAtomicOperationOnVolatileField") // Only one thread at a time writes a connection.
    void wrote(long bytes, boolean complete) {
        bytesWritten += bytes;
        writing = !complete;
    }

    private void enter(Phase next) {
        phaseStartNanos = System.nanoTime();
        phase = next;
    }

    void headStarted() {
        if (phase != Phase.HEAD) {
            enter(Phase.HEAD);
        }
    }

    void headComplete(long declaredLength) {
        bodyLength = declaredLength;
        responseLength = 0;
        enter(Phase.BODY);
    }

    void requestComplete() {
        used = true;
        phase = Phase.PROCESSING;
    }

    void responseStarted(long length) {
        responseLength = length;
    }

    /** Called when the connection waits for input: after a response, for the next request. */
    void awaitingInput() {
        if (phase == Phase.PROCESSING) {
            enter(Phase.IDLE);
        }
    }

    long phaseNanos(long nowNanos) {
        return nowNanos - phaseStartNanos;
    }

    /** Returns how readily a new connection may replace this one: 0 first, {@link #IN_USE} never. */
    int replacementClass(long nowNanos) {
        Phase current = phase;
        if (current == Phase.PROCESSING) {
            return writing && phaseNanos(nowNanos) > PERIOD_NANOS ? 2 : IN_USE;
        }
        if (!used) {
            return 0;
        }
        if (current != Phase.IDLE) {
            return 1;
        }
        return phaseNanos(nowNanos) > MIN_IDLE_NANOS ? 3 : IN_USE;
    }

    /**
     * Checks whether the client is too slow.
     *
     * @param nowNanos current time
     * @param headerTimeoutNanos maximum time for a head
     * @return the problem, or null if there is none
     */
    String findProblem(long nowNanos, long headerTimeoutNanos) {
        Phase current = phase;
        if (current == Phase.HEAD) {
            periodStartNanos = -1;
            return phaseNanos(nowNanos) > headerTimeoutNanos ? "its head is incomplete" : null;
        }
        boolean measured = current == Phase.BODY || writing;
        if (!measured || current != measuredPhase) {
            measuredPhase = current;
            periodStartNanos = measured ? nowNanos : -1;
            periodBytes = bytesMoved(current);
            return null;
        }
        if (periodStartNanos < 0) {
            periodStartNanos = nowNanos;
            periodBytes = bytesMoved(current);
        }
        if (nowNanos - periodStartNanos < PERIOD_NANOS) {
            return null;
        }
        long moved = bytesMoved(current) - periodBytes;
        long length = current == Phase.BODY ? bodyLength : responseLength;
        periodStartNanos = nowNanos;
        periodBytes += moved;
        return moved < Math.max(MIN_BYTES, length / MAX_PERIODS)
                ? moved + " bytes moved in the last period of a " + (current == Phase.BODY ? "body" : "response")
                : null;
    }

    private long bytesMoved(Phase current) {
        return current == Phase.BODY ? bytesRead : bytesWritten;
    }
}
