package org.anvillatch.node.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointProcesses;
import org.anvillatch.decision.drain.LeavingRecords;
import org.anvillatch.decision.drain.LeavingRecovery;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.peer.ControlMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the acknowledgement that a process of the endpoint is leaving outlast this node: before it, the process is
 * recorded in the platform's store, and other hosts are told; after a start, both are asked.
 *
 * <p>Invariants: a process counts as recorded when the store has confirmed it; recovery ends as {@link LeavingRecovery}
 * decides.
 * Not thread safe: all methods are called on the decision loop.
 */
public final class LeavingCommitments {
    private static final Logger LOG = LoggerFactory.getLogger(LeavingCommitments.class);

    /** Time between two checks whether other hosts can be asked, in microseconds. */
    private static final long CHECK_MICROS = 20_000;

    /** Time between two rounds of asking, and between two reads of the store, in microseconds. */
    private static final long ASK_AGAIN_MICROS = 500_000;

    private final DecisionLoop loop;
    private final MembershipService membership;
    private final LeavingWitnesses witnesses;
    private final LeavingStore store;
    private final MetricRegistry metrics;
    private final List<RecoveryListener> waiting = new ArrayList<>();
    private final Set<String> learned = new LinkedHashSet<>();
    private Set<String> stored = Set.of();
    private Consumer<List<String>> processListener = processes -> {};
    private LeavingRecovery recovery;
    private long startMicros;
    private boolean otherHostsExcluded;
    private boolean recovered;

    /** Waits until it is known which processes of the endpoint are leaving. */
    public interface RecoveryListener {
        /** Called when it is known. */
        void recovered();

        /** Called when it is not known after the timeout. */
        void delayed();
    }

    /**
     * Creates the service; {@link #recover} makes it ask about the endpoint.
     *
     * @param loop runs the callbacks
     * @param membership tells whether the view of the hosts is complete
     * @param witnesses other hosts
     * @param store durable record
     * @param metrics registry for the metrics
     */
    public LeavingCommitments(
            DecisionLoop loop,
            MembershipService membership,
            LeavingWitnesses witnesses,
            LeavingStore store,
            MetricRegistry metrics) {
        this.loop = loop;
        this.membership = membership;
        this.witnesses = witnesses;
        this.store = store;
        this.metrics = metrics;
    }

    /**
     * Records which processes of this host's endpoint are leaving.
     *
     * @param processes identities of the processes, the latest last
     * @param done receives whether the store has recorded them
     */
    public void record(List<String> processes, Consumer<Boolean> done) {
        int from = Math.max(0, processes.size() - LeavingRecords.MAX_PROCESSES);
        List<String> latest = List.copyOf(processes.subList(from, processes.size()));
        witnesses.tell(latest);
        store.record(latest, done);
    }

    /**
     * Asks the store and other hosts which processes of this host's endpoint are leaving.
     *
     * @param listener receives the processes, the latest last, before the reports that wait; again with those that are
     *     learned later
     */
    public void recover(Consumer<List<String>> listener) {
        processListener = listener;
        startMicros = loop.nowMicros();
        recovery = new LeavingRecovery(startMicros);
        metrics.register("endpoint.recovered", (Gauge<Integer>) () -> recovered ? 1 : 0);
        loop.schedule(EndpointProcesses.MAX_LATENESS_MICROS, () -> {
            if (!recovered) {
                // The reports that wait may have been sent before the start.
                waiting.clear();
            }
            check();
        });
        loop.schedule(LeavingRecovery.MAX_WITNESS_WAIT_MICROS, this::check);
        readStore();
        askHosts();
    }

    /** Records that the store knows no other host. */
    public void excludeOtherHosts() {
        otherHostsExcluded = true;
    }

    /**
     * Waits until it is known which processes of the endpoint are leaving.
     *
     * @param timeoutMicros time in microseconds after which the listener is told that it is not known yet
     * @param listener told when it is known, also after the timeout
     */
    public void awaitRecovery(long timeoutMicros, RecoveryListener listener) {
        if (recovered) {
            listener.recovered();
            return;
        }
        waiting.add(listener);
        loop.schedule(timeoutMicros, () -> {
            if (!recovered) {
                listener.delayed();
            }
        });
    }

    private void readStore() {
        store.read(answer -> {
            if (answer.isPresent()) {
                recovery.storeRead();
                stored = Set.copyOf(answer.get());
                learn(answer.get());
            } else {
                loop.schedule(ASK_AGAIN_MICROS, this::readStore);
            }
            check();
        });
    }

    private void askHosts() {
        boolean present = witnesses.isAnyPresent();
        if (present && membership.isSynchronized()) {
            witnesses.ask(new LeavingWitnesses.AnswerListener() {
                @Override
                public void answered(ControlMessages.LeavingAnswer answer) {
                    recovery.hostAnswered(answer.uptimeMicros(), loop.nowMicros());
                    learn(answer.processes());
                }

                @Override
                public void ended(int answers) {
                    if (answers > 0) {
                        recovery.allHostsAnswered();
                        check();
                    }
                    askAgainUnlessWitnessed();
                }
            });
        } else if (!present && otherHostsExcluded) {
            recovery.allHostsAnswered();
            check();
        } else if (!isLate()) {
            loop.schedule(recovered ? ASK_AGAIN_MICROS : CHECK_MICROS, this::askHosts);
        }
    }

    /** Returns whether all reports that were sent before the start have arrived. */
    private boolean isLate() {
        return loop.nowMicros() - startMicros > EndpointProcesses.MAX_LATENESS_MICROS;
    }

    /** Asks again while no host with a past has answered: one may not have been found yet. */
    private void askAgainUnlessWitnessed() {
        if (!recovery.hasWitness() && !isLate()) {
            loop.schedule(ASK_AGAIN_MICROS, this::askHosts);
        }
    }

    private void learn(Collection<String> processes) {
        boolean changed = learned.addAll(processes);
        if (recovered && changed) {
            announceLearned();
        }
    }

    private void announceLearned() {
        List<String> processes = List.copyOf(learned);
        processListener.accept(processes);
        if (!stored.containsAll(processes)) {
            // The store has come back from a copy without them: without this, only the witnesses would know.
            store.record(processes, durable -> LOG.info("recovered leaving processes stored={}", durable));
        }
    }

    private void check() {
        if (!recovered) {
            recovery.basis(loop.nowMicros()).ifPresent(this::finishRecovery);
        }
    }

    private void finishRecovery(LeavingRecovery.Basis basis) {
        LOG.info(
                "endpoint recovered basis={} leaving={} afterMicros={}",
                basis,
                learned,
                loop.nowMicros() - startMicros);
        recovered = true;
        announceLearned();
        List<RecoveryListener> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(RecoveryListener::recovered);
    }
}
