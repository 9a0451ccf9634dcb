package org.anvillatch.node.membership;

import java.util.List;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
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
 * Tells other hosts which processes of this host's endpoint are leaving and asks them after a restart, and does the same
 * for other hosts.
 *
 * <p>Not thread safe: all methods are called on the decision loop.
 */
public final class LeavingWitnesses {
    private static final Logger LOG = LoggerFactory.getLogger(LeavingWitnesses.class);

    /** Maximum wait for the confirmation of a witness, in microseconds. */
    private static final long TELL_TIMEOUT_MICROS = 700_000;

    /**
     * Maximum wait for what a witness knows, in microseconds. Hosts are a few milliseconds apart; while the whole system
     * starts, some of them are not reachable yet, and the endpoint waits for them.
     */
    private static final long ASK_TIMEOUT_MICROS = 300_000;

    private final DecisionLoop loop;
    private final HostState state;
    private final PeerClient peers;
    private final LeavingRecords records = new LeavingRecords();
    private final long createdMicros;

    /**
     * Creates the service.
     *
     * @param loop runs the callbacks
     * @param state decision state of the host
     * @param peers client for other hosts
     * @param metrics registry for the gauges
     */
    public LeavingWitnesses(DecisionLoop loop, HostState state, PeerClient peers, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.peers = peers;
        this.createdMicros = loop.nowMicros();
        metrics.register("endpoint.witnessed_hosts", (Gauge<Integer>) records::hosts);
    }

    /** Receives what other hosts know. */
    interface AnswerListener {
        /**
         * Called for each answer.
         *
         * @param answer processes that are leaving, and the uptime of the host
         */
        void answered(ControlMessages.LeavingAnswer answer);

        /**
         * Called after the last answer.
         *
         * @param answers number of hosts that have answered
         */
        void ended(int answers);
    }

    /** Counts the answers of several hosts to one message. */
    private abstract static class Round implements PeerClient.AnswerListener {
        private int missing;
        private int answered;

        Round(int asked) {
            this.missing = asked;
        }

        /** Handles an answer and returns whether it is one that was asked for. */
        abstract boolean accept(PeerMessage message);

        abstract void end(int answers);

        @Override
        public final void answered(PeerMessage message) {
            if (accept(message)) {
                answered++;
            }
            countDown();
        }

        @Override
        public final void failed(PeerClient.PeerFailure failure) {
            countDown();
        }

        private void countDown() {
            missing--;
            if (missing == 0) {
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
     * Returns whether another host is present that can be a witness.
     *
     * @return false if this host knows none
     */
    boolean isAnyPresent() {
        return !state.membership().presentPeers().isEmpty();
    }

    /**
     * Tells witnesses which processes of this host's endpoint are leaving.
     *
     * @param processes identities of the processes, the latest last
     */
    void tell(List<String> processes) {
        List<Member> witnesses = choose(Witnesses.TOLD_PER_DOMAIN);
        long sentMicros = loop.nowMicros();
        Round round = new Round(witnesses.size()) {
            @Override
            boolean accept(PeerMessage message) {
                return message instanceof ControlMessages.Acknowledge answer && answer.accepted();
            }

            @Override
            void end(int answers) {
                LOG.info(
                        "endpoint leaving processes={} witnesses={} confirmed={} waitMicros={}",
                        processes,
                        witnesses.size(),
                        answers,
                        loop.nowMicros() - sentMicros);
            }
        };
        PeerMessage notice = new ControlMessages.LeavingNotice(hostName(), processes);
        witnesses.forEach(witness -> peers.send(witness.address(), notice, TELL_TIMEOUT_MICROS, round));
    }

    /**
     * Asks other hosts which processes of this host's endpoint are leaving. Call it only if one is present.
     *
     * @param listener receives the answers
     */
    void ask(AnswerListener listener) {
        List<Member> witnesses = choose(Witnesses.ASKED_PER_DOMAIN);
        Round round = new Round(witnesses.size()) {
            @Override
            boolean accept(PeerMessage message) {
                if (message instanceof ControlMessages.LeavingAnswer answer) {
                    listener.answered(answer);
                    return true;
                }
                return false;
            }

            @Override
            void end(int answers) {
                listener.ended(answers);
            }
        };
        PeerMessage query = new ControlMessages.LeavingQuery(hostName());
        witnesses.forEach(witness -> peers.send(witness.address(), query, ASK_TIMEOUT_MICROS, round));
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
        long nowMicros = loop.nowMicros();
        reply.send(new ControlMessages.LeavingAnswer(records.of(query.host(), nowMicros), nowMicros - createdMicros));
    }
}
