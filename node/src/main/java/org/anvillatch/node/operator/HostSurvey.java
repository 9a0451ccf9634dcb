package org.anvillatch.node.operator;

import java.util.ArrayList;
import java.util.List;
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

    private static final long TIMEOUT_MICROS = 1_000_000;

    private final HostState state;
    private final PeerClient peers;

    /**
     * Answers of a survey. Immutable and thread safe.
     *
     * @param answers answers in order of arrival
     * @param asked hosts that were asked
     * @param present hosts believed present, this one not counted
     */
    public record Result(List<PeerMessage> answers, int asked, int present) {}

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
     * @param listener receives the result, on the loop
     */
    public void ask(PeerMessage question, Consumer<Result> listener) {
        List<Member> present = new ArrayList<>();
        for (Member member : state.membership().all()) {
            boolean isSelf = member.host().equals(state.membership().self().host());
            if (!isSelf && member.status().isPresent()) {
                present.add(member);
            }
        }
        List<Member> asked = present.subList(0, Math.min(MOST_HOSTS, present.size()));
        Collector collector = new Collector(asked.size(), present.size(), listener);
        asked.forEach(member -> peers.send(member.address(), question, TIMEOUT_MICROS, collector));
        collector.endIfComplete();
    }

    private static final class Collector implements PeerClient.AnswerListener {
        private final List<PeerMessage> answers = new ArrayList<>();
        private final int asked;
        private final int present;
        private final Consumer<Result> listener;
        private int ended;

        private Collector(int asked, int present, Consumer<Result> listener) {
            this.asked = asked;
            this.present = present;
            this.listener = listener;
        }

        @Override
        public void answered(PeerMessage message) {
            answers.add(message);
            ended++;
            endIfComplete();
        }

        @Override
        public void failed(PeerClient.PeerFailure failure) {
            ended++;
            endIfComplete();
        }

        private void endIfComplete() {
            if (ended == asked) {
                listener.accept(new Result(List.copyOf(answers), asked, present));
            }
        }
    }
}
