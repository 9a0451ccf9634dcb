package org.anvillatch.decision.routing;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.RefusalReason;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointSelectorTest {
    private static final OperationName OPERATION = new OperationName("glossary", "terms");
    private static final long NOW = 1_000_000;

    private final Membership membership =
            new Membership(member("self", "d1", EndpointPhase.ABSENT, MemberStatus.ALIVE), List.of());
    private final EndpointSelector selector = new EndpointSelector(membership);
    private final SplittableRandom random = new SplittableRandom(1);

    private static Member member(String name, String domain, EndpointPhase phase, MemberStatus status) {
        return new Member(new HostIdentity(name, 1), 0, name, domain, "glossary", 10, phase, status, 0);
    }

    private RouteChoice choose(int rank, Set<String> excluded, Set<String> drained) {
        return selector.choose(new EndpointSelector.Request(OPERATION, rank, excluded, drained), NOW, random);
    }

    private void addMembers(Member... members) {
        membership.mergeUpdates(List.of(members), NOW);
    }

    @Test
    void refusesCallsWithoutAnEndpoint() {
        assertThat(choose(0, Set.of(), Set.of()).refusal()).isEqualTo(RefusalReason.NO_ENDPOINT);
    }

    @Test
    void neverChoosesLeavingDeadExcludedOrDrainedHosts() {
        addMembers(
                member("leaving", "d1", EndpointPhase.LEAVING, MemberStatus.ALIVE),
                member("tried", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE),
                member("drained", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE),
                member("far", "d2", EndpointPhase.SERVING, MemberStatus.ALIVE),
                member("good", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE));
        for (int calls = 0; calls < 50; calls++) {
            RouteChoice choice = choose(0, Set.of("tried"), Set.of("drained", "d2"));
            assertThat(choice.host().host().name()).isEqualTo("good");
        }
    }

    @Test
    void suspectedHostIsChosenOnlyWithoutAnotherOne() {
        addMembers(member("suspect", "d1", EndpointPhase.SERVING, MemberStatus.SUSPECT));
        assertThat(choose(0, Set.of(), Set.of()).isChosen()).isTrue();
        addMembers(member("good", "d2", EndpointPhase.SERVING, MemberStatus.ALIVE));
        assertThat(choose(0, Set.of(), Set.of()).host().host().name()).isEqualTo("good");
    }

    /** Load pattern: one of two endpoints fails some of its work. */
    @Test
    void failingEndpointGetsWorkOnlyWhileOthersAreFull() {
        Member good = member("good", "d2", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(member("failing", "d1", EndpointPhase.FAILING, MemberStatus.ALIVE), good);
        int sent = 0;
        while (choose(0, Set.of(), Set.of()).host().equals(good)) {
            selector.recordSent(good);
            sent++;
            assertThat(sent).isAtMost(good.slots());
        }
        assertThat(sent).isEqualTo(good.slots());
    }

    /** Guards against a joining endpoint that gets nothing because another one answers faster than was assumed of it. */
    @Test
    void joiningEndpointGetsWorkWhileAKnownFasterOneIsIdle() {
        Member known = member("known", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        Member joining = member("other", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(known);
        int sentToJoining = 0;
        for (int calls = 0; calls < 1_560; calls++) {
            if (calls == 100) {
                addMembers(joining);
            }
            Member chosen = choose(0, Set.of(), Set.of()).host();
            selector.recordSent(chosen);
            selector.recordAnswer(chosen, new LoadFeedback(OPERATION, 0, 0, 200, null), NOW);
            sentToJoining += chosen.equals(joining) ? 1 : 0;
        }
        assertThat(sentToJoining).isGreaterThan(0);
    }

    private static Member memberWithServiceTime(String name, String domain, long serviceTimeMicros) {
        return new Member(
                new HostIdentity(name, 1),
                0,
                name,
                domain,
                "glossary",
                10,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                serviceTimeMicros);
    }

    /** Load pattern: the only endpoint of this failure domain becomes four times as slow as those of other domains. */
    @Test
    void slowEndpointOfTheOwnDomainIsNotChosenWhileOthersHaveSpareCapacity() {
        addMembers(
                memberWithServiceTime("own", "d1", 168_000),
                memberWithServiceTime("far", "d2", 42_000),
                memberWithServiceTime("other", "d3", 42_000));
        for (int calls = 0; calls < 5; calls++) {
            Member chosen = choose(0, Set.of(), Set.of()).host();
            assertThat(chosen.host().name()).isNotEqualTo("own");
            selector.recordSent(chosen);
        }
    }

    /**
     * Load pattern: endpoints differ in speed by design. Sending a call to another failure domain costs more than
     * halving its service time saves.
     */
    @Test
    void endpointOfTheOwnDomainIsChosenIfItIsLessThanThreeTimesAsSlow() {
        addMembers(memberWithServiceTime("own", "d1", 96_000), memberWithServiceTime("far", "d2", 42_000));
        for (int calls = 0; calls < 5; calls++) {
            Member chosen = choose(0, Set.of(), Set.of()).host();
            assertThat(chosen.host().name()).isEqualTo("own");
            selector.recordSent(chosen);
        }
    }

    @Test
    void slowEndpointOfTheOwnDomainIsChosenOnceOthersAreBusy() {
        addMembers(memberWithServiceTime("own", "d1", 168_000), memberWithServiceTime("far", "d2", 42_000));
        boolean own = false;
        for (int calls = 0; calls < 10; calls++) {
            Member chosen = choose(0, Set.of(), Set.of()).host();
            own |= chosen.host().name().equals("own");
            selector.recordSent(chosen);
        }
        assertThat(own).isTrue();
    }

    @Test
    void failingEndpointIsChosenIfThereIsNoOther() {
        addMembers(member("failing", "d1", EndpointPhase.FAILING, MemberStatus.ALIVE));
        assertThat(choose(0, Set.of(), Set.of()).isChosen()).isTrue();
    }

    @Test
    void refusesARankBelowTheShedLevelOfEveryEndpoint() {
        Member only = member("only", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(only);
        selector.recordSent(only);
        selector.recordAnswer(only, new LoadFeedback(OPERATION, 200, 5, 0, null), NOW);
        assertThat(choose(100, Set.of(), Set.of()).refusal()).isEqualTo(RefusalReason.OVERLOAD);
        assertThat(choose(300, Set.of(), Set.of()).isChosen()).isTrue();
    }

    @Test
    void shedLevelThatIsNoLongerReportedExpires() {
        Member only = member("only", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(only);
        selector.recordSent(only);
        selector.recordAnswer(only, new LoadFeedback(OPERATION, 200, 5, 0, null), NOW);
        EndpointSelector.Request request = new EndpointSelector.Request(OPERATION, 0, Set.of(), Set.of());
        assertThat(selector.choose(request, NOW + 1_000_000, random).isChosen()).isTrue();
    }

    @Test
    void endpointIsEjectedAfterFailures() {
        Member bad = member("bad", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(bad, member("good", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE));
        for (int failures = 0; failures < 3; failures++) {
            selector.recordSent(bad);
            selector.recordFailure(bad, NOW);
        }
        for (int calls = 0; calls < 20; calls++) {
            assertThat(choose(0, Set.of(), Set.of()).host().host().name()).isEqualTo("good");
        }
    }

    @Test
    void staysInTheOwnDomainWhileItHasSpareCapacity() {
        Member near = member("near", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(near, member("far", "d2", EndpointPhase.SERVING, MemberStatus.ALIVE));
        for (int running = 0; running < 7; running++) {
            RouteChoice choice = choose(0, Set.of(), Set.of());
            assertThat(choice.host().host().name()).isEqualTo("near");
            selector.recordSent(near);
        }
        assertThat(choose(0, Set.of(), Set.of()).host().host().name()).isEqualTo("far");
    }

    @Test
    void hostThatReportsThatItLeavesIsNotChosenBeforeGossipSpreadsIt() {
        Member leaving = member("leaving", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(leaving, member("far", "d2", EndpointPhase.SERVING, MemberStatus.ALIVE));
        selector.recordLeaving(leaving, NOW);
        assertThat(choose(0, Set.of(), Set.of()).host().host().name()).isEqualTo("far");
    }

    /** Guards against a restriction that a sender forgets because the endpoint's host was restarted. */
    @Test
    void restrictionOutlastsAnIncarnationOfTheHost() {
        Member first = member("host", "d1", EndpointPhase.SERVING, MemberStatus.ALIVE);
        addMembers(first);
        EndpointNotice notice = new EndpointNotice("i@1", 20, false);
        selector.recordAnswer(first, new LoadFeedback(OPERATION, 0, 1, 10, notice), NOW);
        Member second = new Member(
                new HostIdentity("host", 2),
                0,
                "host",
                "d1",
                "glossary",
                10,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                0);
        addMembers(second);
        choose(0, Set.of(), Set.of());
        selector.recordAnswer(second, new LoadFeedback(OPERATION, 0, 1, 0, null), NOW);
        assertThat(selector.noticeOf("host")).isEqualTo(notice);
        selector.recordAnswer(second, new LoadFeedback(OPERATION, 0, 1, 10, null), NOW);
        assertThat(selector.noticeOf("host")).isNull();
    }
}
