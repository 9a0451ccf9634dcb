package org.anvillatch.node.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.peer.PeerClient;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Asks many hosts the same question and collects the answers. Owned by the decision loop.
 */
public final class HostSurvey {
    /** Most hosts that are asked. */
    public static final int MOST_HOSTS = 400;

    /** Hosts of a failure domain that are asked whether a change is in force. */
    public static final int SAMPLE = 8;

    private static final long TIMEOUT_MICROS = 1_000_000;

    private final HostState state;
    private final PeerClient peers;

    /**
     * Creates a survey.
     *
     * @param state decision state of the host
     * @param peers sends to other hosts
     */
    public HostSurvey(HostState state, PeerClient peers) {
        this.state = state;
        this.peers = peers;
    }

    /**
     * Asks all other hosts, or an arbitrary part of them if they are too many.
     *
     * @param question the question
     * @param listener receives the answers in order of arrival, on the loop
     */
    public void ask(PeerMessage question, Consumer<List<PeerMessage>> listener) {
        List<Member> present = state.membership().presentPeers();
        ask(question, present.subList(0, Math.min(MOST_HOSTS, present.size())), listener);
    }

    /**
     * Asks some hosts.
     *
     * @param question the question
     * @param asked the hosts
     * @param listener receives the answers in order of arrival, on the loop
     */
    public void ask(PeerMessage question, List<Member> asked, Consumer<List<PeerMessage>> listener) {
        Collector collector = new Collector(asked.size(), listener);
        asked.forEach(member -> peers.send(member.address(), question, TIMEOUT_MICROS, collector));
        if (asked.isEmpty()) {
            listener.accept(List.of());
        }
    }

    /**
     * Draws a few hosts of each failure domain.
     *
     * @return other hosts that are present, at most {@link #SAMPLE} of a failure domain
     */
    public List<Member> sample() {
        List<Member> present = state.membership().presentPeers();
        Map<String, Integer> drawn = new HashMap<>();
        List<Member> sample = new ArrayList<>();
        int offset = present.isEmpty() ? 0 : state.random().nextInt(present.size());
        for (int index = 0; index < present.size(); index++) {
            Member member = present.get((index + offset) % present.size());
            if (drawn.merge(member.domain(), 1, Integer::sum) <= SAMPLE) {
                sample.add(member);
            }
        }
        return sample;
    }

    private static final class Collector implements PeerClient.AnswerListener {
        private final List<PeerMessage> answers = new ArrayList<>();
        private final int asked;
        private final Consumer<List<PeerMessage>> listener;
        private int ended;

        private Collector(int asked, Consumer<List<PeerMessage>> listener) {
            this.asked = asked;
            this.listener = listener;
        }

        @Override
        public void answered(PeerMessage message) {
            answers.add(message);
            endOne();
        }

        @Override
        public void failed(PeerClient.PeerFailure failure) {
            endOne();
        }

        private void endOne() {
            ended++;
            if (ended == asked) {
                listener.accept(List.copyOf(answers));
            }
        }
    }
}
