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
 * Sends the same request to many hosts and collects their answers. Not thread safe: all methods are called on the
 * decision loop.
 */
public final class HostSurvey {
    /** Maximum number of hosts that are asked. */
    public static final int MAX_HOSTS = 400;

    /** Maximum number of hosts of a failure domain that are asked whether a change has taken effect. */
    public static final int MAX_SAMPLED_HOSTS_PER_DOMAIN = 8;

    private static final long TIMEOUT_MICROS = 1_000_000;

    private final HostState state;
    private final PeerClient peers;

    /**
     * Creates a survey.
     *
     * @param state decision state of the host
     * @param peers client for other hosts
     */
    public HostSurvey(HostState state, PeerClient peers) {
        this.state = state;
        this.peers = peers;
    }

    /**
     * Asks all other hosts that are present, or an arbitrary {@link #MAX_HOSTS} of them if there are more.
     *
     * @param request the request
     * @param listener receives the answers in order of arrival, on the loop
     */
    public void ask(PeerMessage request, Consumer<List<PeerMessage>> listener) {
        List<Member> present = state.membership().presentPeers();
        ask(request, present.subList(0, Math.min(MAX_HOSTS, present.size())), listener);
    }

    /**
     * Asks the given hosts.
     *
     * @param request the request
     * @param asked the hosts to ask
     * @param listener receives the answers in order of arrival, on the loop
     */
    public void ask(PeerMessage request, List<Member> asked, Consumer<List<PeerMessage>> listener) {
        Collector collector = new Collector(asked.size(), listener);
        asked.forEach(member -> peers.send(member.address(), request, TIMEOUT_MICROS, collector));
        if (asked.isEmpty()) {
            listener.accept(List.of());
        }
    }

    /**
     * Selects a random sample of hosts of each failure domain.
     *
     * @return other hosts that are present, at most {@link #MAX_SAMPLED_HOSTS_PER_DOMAIN} of each failure domain
     */
    public List<Member> sample() {
        List<Member> present = state.membership().presentPeers();
        Map<String, Integer> selectedPerDomain = new HashMap<>();
        List<Member> sample = new ArrayList<>();
        int offset = present.isEmpty() ? 0 : state.random().nextInt(present.size());
        for (int index = 0; index < present.size(); index++) {
            Member member = present.get((index + offset) % present.size());
            if (selectedPerDomain.merge(member.domain(), 1, Integer::sum) <= MAX_SAMPLED_HOSTS_PER_DOMAIN) {
                sample.add(member);
            }
        }
        return sample;
    }

    private static final class Collector implements PeerClient.AnswerListener {
        private final List<PeerMessage> answers = new ArrayList<>();
        private final int asked;
        private final Consumer<List<PeerMessage>> listener;
        private int completed;

        private Collector(int asked, Consumer<List<PeerMessage>> listener) {
            this.asked = asked;
            this.listener = listener;
        }

        @Override
        public void answered(PeerMessage message) {
            answers.add(message);
            completeOne();
        }

        @Override
        public void failed(PeerClient.PeerFailure failure) {
            completeOne();
        }

        private void completeOne() {
            completed++;
            if (completed == asked) {
                listener.accept(List.copyOf(answers));
            }
        }
    }
}
