package org.anvillatch.node.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointProcesses;
import org.anvillatch.decision.drain.LeavingRecords;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.Witnesses;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;
import org.anvillatch.node.peer.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps at other hosts which processes of this host's endpoint are leaving, so that the acknowledgement of a leaving
 * outlasts the process of this node, and does the same for other hosts.
 *
 * <p>Invariants: a leaving counts as recorded only if {@link #MIN_CONFIRMATIONS} witnesses have confirmed it, or one if no
 * more do in time, or if no other host is known. Not thread safe: all methods are called on the decision loop.
 */
public final class LeavingWitnesses {
    /** Confirmations after which a leaving counts as recorded without waiting for the other witnesses. */
    static final int MIN_CONFIRMATIONS = 2;

    private static final Logger LOG = LoggerFactory.getLogger(LeavingWitnesses.class);

    /** Maximum wait for a witness, in microseconds: endpoints wait about a second for the answer to a report. */
    private static final long MESSAGE_TIMEOUT_MICROS = 700_000;

    /** Time between two checks whether the witnesses can be asked, in microseconds. */
    private static final long RECOVERY_CHECK_MICROS = 20_000;

    /** Time between two rounds of asking while no witness answers, in microseconds. */
    private static final long ASK_AGAIN_MICROS = 500_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final MembershipService membership;
    private final LeavingRecords records = new LeavingRecords();
    private final List<RecoveryListener> waiting = new ArrayList<>();
    private Consumer<List<String>> recoveryListener = processes -> {};
    private long startMicros;
    private boolean otherHostsExcluded;
    private boolean recovered;

    /**
     * Creates the service. It is a witness for others at once; {@link #recover} makes it ask about its own endpoint.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param peers client for other hosts
     * @param membership tells whether the view of the hosts is complete
     * @param metrics registry for the gauges
     */
    public LeavingWitnesses(
            DecisionLoop loop,
            HostState state,
            PeerClient peers,
            MembershipService membership,
            MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.membership = membership;
        metrics.register("endpoint.witnessed_hosts", (Gauge<Integer>) records::hosts);
        metrics.register("endpoint.recovered", (Gauge<Integer>) () -> recovered ? 1 : 0);
    }

    /** Waits until it is known which processes of the endpoint are leaving. */
    public interface RecoveryListener {
        /** Called when it is known. */
        void recovered();

        /** Called when it is not known after the timeout. */
        void delayed();
    }

    /** Collects the answers of several witnesses to one message. */
    private abstract class Round implements PeerClient.AnswerListener {
        private final int asked;
        private int answered;
        private int failed;
        private boolean ended;

        Round(int asked) {
            this.asked = asked;
        }

        /** Handles an answer and returns whether it is one that was asked for. */
        abstract boolean accept(PeerMessage message);

        abstract boolean isEnough(int answers);

        abstract void end(int answers);

        @Override
        public final void answered(PeerMessage message) {
            if (accept(message)) {
                answered++;
            } else {
                failed++;
            }
            check();
        }

        @Override
        public final void failed(PeerClient.PeerFailure failure) {
            failed++;
            check();
        }

        private void check() {
            if (!ended && (isEnough(answered) || answered + failed == asked)) {
                ended = true;
                end(answered);
            }
        }
    }

    private List<Member> choose(int perDomain) {
        return Witnesses.choose(hostName(), state.membership().presentPeers(), perDomain);
    }

    private String hostName() {
        return state.membership().self().host().name();
    }

    /**
     * Records at witnesses which processes of this host's endpoint are leaving.
     *
     * @param processes identities of the processes, the latest last
     * @param done receives whether they were recorded
     */
    public void record(List<String> processes, Consumer<Boolean> done) {
        List<Member> witnesses = choose(Witnesses.TOLD_PER_DOMAIN);
        if (witnesses.isEmpty()) {
            LOG.info("endpoint leaving processes={} recorded here only, no other host is known", processes);
            done.accept(true);
            return;
        }
        long sentMicros = loop.nowMicros();
        Round round = new Round(witnesses.size()) {
            @Override
            boolean accept(PeerMessage message) {
                return message instanceof ControlMessages.Acknowledge answer && answer.accepted();
            }

            @Override
            boolean isEnough(int answers) {
                return answers >= MIN_CONFIRMATIONS;
            }

            @Override
            void end(int answers) {
                LOG.info(
                        "endpoint leaving processes={} witnesses={} confirmed={} waitMicros={}",
                        processes,
                        witnesses.size(),
                        answers,
                        loop.nowMicros() - sentMicros);
                done.accept(answers > 0);
            }
        };
        int from = Math.max(0, processes.size() - LeavingRecords.MAX_PROCESSES);
        List<String> latest = List.copyOf(processes.subList(from, processes.size()));
        PeerMessage notice = new ControlMessages.LeavingNotice(hostName(), latest);
        witnesses.forEach(witness -> peers.send(witness.address(), notice, MESSAGE_TIMEOUT_MICROS, round));
    }

    /**
     * Asks the witnesses which processes of this host's endpoint are leaving.
     *
     * @param listener receives the processes, the latest last, before the reports that wait; again with those that were
     *     learned later if no witness answered in time
     */
    public void recover(Consumer<List<String>> listener) {
        recoveryListener = listener;
        startMicros = loop.nowMicros();
        loop.schedule(EndpointProcesses.MAX_LATENESS_MICROS, () -> {
            if (!recovered) {
                // No witness is reachable. Reports that arrive from now on were sent after the start, the earlier ones
                // may have been sent before.
                waiting.clear();
                finishRecovery("time", List.of());
            }
        });
        tryRecovery();
    }

    /** Records that the store knows no other host, so that no host can be a witness. */
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

    private void tryRecovery() {
        List<Member> witnesses = choose(Witnesses.ASKED_PER_DOMAIN);
        if (!witnesses.isEmpty() && membership.isSynchronized()) {
            ask(witnesses);
        } else if (witnesses.isEmpty() && otherHostsExcluded) {
            finishRecovery("no other host", List.of());
        } else {
            loop.schedule(recovered ? ASK_AGAIN_MICROS : RECOVERY_CHECK_MICROS, this::tryRecovery);
        }
    }

    private void ask(List<Member> witnesses) {
        Set<String> processes = new LinkedHashSet<>();
        Round round = new Round(witnesses.size()) {
            @Override
            boolean accept(PeerMessage message) {
                if (message instanceof ControlMessages.LeavingAnswer answer) {
                    processes.addAll(answer.processes());
                    return true;
                }
                return false;
            }

            @Override
            boolean isEnough(int answers) {
                return answers == witnesses.size();
            }

            @Override
            void end(int answers) {
                if (answers == 0) {
                    loop.schedule(ASK_AGAIN_MICROS, LeavingWitnesses.this::tryRecovery);
                } else {
                    finishRecovery(answers + " of " + witnesses.size() + " witnesses", List.copyOf(processes));
                }
            }
        };
        PeerMessage query = new ControlMessages.LeavingQuery(hostName());
        witnesses.forEach(witness -> peers.send(witness.address(), query, MESSAGE_TIMEOUT_MICROS, round));
    }

    private void finishRecovery(String source, List<String> processes) {
        LOG.info(
                "endpoint recovered from={} leaving={} afterMicros={}",
                source,
                processes,
                loop.nowMicros() - startMicros);
        recovered = true;
        recoveryListener.accept(processes);
        List<RecoveryListener> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(RecoveryListener::recovered);
    }

    /**
     * Answers a notice of another host.
     *
     * @param notice the notice
     * @param reply sends the answer
     */
    public void answer(ControlMessages.LeavingNotice notice, PeerServer.Reply reply) {
        records.add(notice.host(), notice.processes(), loop.nowMicros());
        reply.send(new ControlMessages.Acknowledge(true));
    }

    /**
     * Answers a question of another host.
     *
     * @param query the question
     * @param reply sends the answer
     */
    public void answer(ControlMessages.LeavingQuery query, PeerServer.Reply reply) {
        reply.send(new ControlMessages.LeavingAnswer(records.of(query.host(), loop.nowMicros())));
    }
}
