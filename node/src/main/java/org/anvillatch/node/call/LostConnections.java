package org.anvillatch.node.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.loop.HostState;

/**
 * Executions that lost their connection to the endpoint. Decides which losses show a crash, and makes the requests that
 * were running suspects unless this endpoint has answered them recently: a request that crashes endpoints is assumed to
 * crash each of them.
 *
 * <p>Invariant: the losses kept are at most {@link #CRASH_WINDOW_MICROS} older than the latest one. Owned by the decision
 * loop: all methods are called on it.
 */
final class LostConnections {
    private static final int MAX_RECENTLY_ANSWERED = 1_000;

    /**
     * Maximum time between the loss of a connection and the failed attempt to connect that shows a crash, in
     * microseconds.
     */
    private static final long CRASH_WINDOW_MICROS = 1_000_000;

    private final HostState state;
    private final EndpointState endpointState;
    private final CrashSignal crashSignal;
    private final Set<String> recentlyAnswered = new LinkedHashSet<>();
    private final Deque<LostExecution> lostExecutions = new ArrayDeque<>();
    private Consumer<List<CrashSuspects.Suspicion>> listener = suspicions -> {};
    private long crashCount;

    private record LostExecution(String fingerprint, long atMicros) {}

    LostConnections(HostState state, EndpointState endpointState, CrashSignal crashSignal) {
        this.state = state;
        this.endpointState = endpointState;
        this.crashSignal = crashSignal;
    }

    void setListener(Consumer<List<CrashSuspects.Suspicion>> listener) {
        this.listener = listener;
    }

    /** Records that the endpoint has answered a request. */
    void recordAnswered(String fingerprint) {
        recentlyAnswered.remove(fingerprint);
        recentlyAnswered.add(fingerprint);
        if (recentlyAnswered.size() > MAX_RECENTLY_ANSWERED) {
            recentlyAnswered.remove(recentlyAnswered.iterator().next());
        }
    }

    /**
     * Handles an execution whose connection was lost. If the loss is not taken as a crash, it is kept until the endpoint
     * proves unreachable.
     *
     * @return suspicions against the request
     */
    List<CrashSuspects.Suspicion> connectionLost(String fingerprint, long nowMicros) {
        if (crashSignal == CrashSignal.CONNECTION_REFUSED) {
            removeLossesBefore(nowMicros - CRASH_WINDOW_MICROS);
            lostExecutions.addLast(new LostExecution(fingerprint, nowMicros));
            return List.of();
        }
        if (state.gatekeeper().phase() == EndpointPhase.SERVING) {
            crashCount++;
            endpointState.changePhase(EndpointPhase.SILENT);
        }
        if (recentlyAnswered.contains(fingerprint)) {
            return List.of();
        }
        CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(fingerprint, crashId());
        if (state.suspects().add(suspicion)) {
            listener.accept(List.of(suspicion));
        }
        return List.of(suspicion);
    }

    /**
     * Handles an endpoint that accepts no connections or was replaced. Requests whose connections were lost shortly
     * before become suspects.
     */
    void endpointUnreachable(long nowMicros) {
        endpointState.changePhase(EndpointPhase.SILENT);
        removeLossesBefore(nowMicros - CRASH_WINDOW_MICROS);
        List<CrashSuspects.Suspicion> suspicions = new ArrayList<>();
        if (!lostExecutions.isEmpty()) {
            crashCount++;
        }
        for (LostExecution lost : lostExecutions) {
            CrashSuspects.Suspicion suspicion = new CrashSuspects.Suspicion(lost.fingerprint(), crashId());
            if (!recentlyAnswered.contains(lost.fingerprint())
                    && state.suspects().add(suspicion)) {
                suspicions.add(suspicion);
            }
        }
        lostExecutions.clear();
        if (!suspicions.isEmpty()) {
            listener.accept(suspicions);
        }
    }

    private String crashId() {
        return state.membership().self().host() + "/" + crashCount;
    }

    /** Removes losses too old to be attributed to a crash; those without a crash would otherwise accumulate. */
    private void removeLossesBefore(long micros) {
        while (!lostExecutions.isEmpty() && lostExecutions.peekFirst().atMicros() <= micros) {
            lostExecutions.removeFirst();
        }
    }
}
