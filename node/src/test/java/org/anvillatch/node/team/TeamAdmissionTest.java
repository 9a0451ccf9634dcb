package org.anvillatch.node.team;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.routing.RequestLimits;
import org.anvillatch.decision.routing.RouteTable;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;
import org.anvillatch.node.loop.TestHostStates;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests when places of allowances are acquired and released, and the counters of teams. */
class TeamAdmissionTest {
    private final HostState state = TestHostStates.create(new Member(
            new HostIdentity("desk-1", 7), 0, "", "d", "desk", 0, EndpointPhase.ABSENT, MemberStatus.ALIVE, 0));
    private final FakeAllowances allowances = new FakeAllowances();
    private final MetricRegistry metrics = new MetricRegistry();
    private final TeamAdmission admission = new TeamAdmission(new DecisionLoop(), state, metrics);
    private final List<TeamAdmission.Permit> permits = new ArrayList<>();

    /** Keeps the replies; the test delivers the verdicts. */
    private static final class FakeAllowances implements TeamAllowances {
        private final List<Consumer<Verdict>> pending = new ArrayList<>();
        private final List<String> released = new ArrayList<>();

        @Override
        public void acquire(String team, long nowMicros, Consumer<Verdict> reply) {
            pending.add(reply);
        }

        @Override
        public void release(String team) {
            released.add(team);
        }
    }

    @BeforeEach
    void setAllowances() {
        admission.setAllowances(allowances);
    }

    private static Team team(String name, double rate) {
        return new Team(name, Team.NO_IMPORTANCE, rate, 5, List.of());
    }

    private void applyTeams(List<Team> teams) {
        long version = state.routes().version() + 1;
        state.routes()
                .updateIfNewer(new RouteTable(version, List.of(), Map.of(), new RequestLimits(1, 1, 1, 1), teams));
        admission.teamsChanged();
    }

    private long count(String name) {
        return metrics.counter("teams." + name).getCount();
    }

    @Test
    void onlyTeamsWithAnAllowanceAreAsked() {
        applyTeams(List.of(team("blue", 0), team("red", 3)));
        admission.admit("", permits::add);
        admission.admit("blue", permits::add);
        assertThat(permits).hasSize(2);
        assertThat(allowances.pending).isEmpty();
        admission.admit("red", permits::add);
        assertThat(permits).hasSize(2);
        allowances.pending.get(0).accept(TeamAllowances.Verdict.refused(70_000));
        assertThat(permits.get(2).verdict().isGranted()).isFalse();
        assertThat(permits.get(2).verdict().retryMicros()).isEqualTo(70_000);
    }

    /** Guards against an allowance that shrinks with each refusal, and against places that are used twice. */
    @Test
    void onlyPlacesOfRequestsThatDidNotRunAreReleased() {
        applyTeams(List.of(team("blue", 0), team("red", 3)));
        for (Outcome outcome : Outcome.values()) {
            admission.admit("red", permits::add);
            allowances.pending.remove(0).accept(TeamAllowances.Verdict.GRANTED);
            permits.remove(0).recordOutcome(outcome);
        }
        assertThat(allowances.released).hasSize(2);
        admission.admit("blue", permits::add);
        permits.remove(0).recordOutcome(Outcome.NOT_RUN);
        assertThat(allowances.released).hasSize(2);
        assertThat(count("requests.team_red")).isEqualTo(Outcome.values().length);
        assertThat(count("refused.team_red")).isEqualTo(2);
        assertThat(count("refused.team_blue")).isEqualTo(1);
    }

    /** Guards against metrics whose number grows with the teams, and against counts that get lost. */
    @Test
    void countersAreBoundedAndTheSmallestTeamsShareOne() {
        List<Team> teams = new ArrayList<>();
        for (int index = 1; index <= 100; index++) {
            teams.add(team("t-" + index, index));
        }
        teams.add(team("t_100", 200));
        applyTeams(teams);
        teams.forEach(team -> admission.admit(team.name(), permit -> {}));
        int bound = 2 * (TeamMetrics.MAX_NAMED_TEAMS + 1);
        assertThat(metrics.getCounters().size()).isAtMost(bound);
        assertThat(count("requests.team_t_99")).isEqualTo(1);
        assertThat(count("requests.others")).isEqualTo(101 - 19);
        applyTeams(List.of(team("new", 1)));
        assertThat(count("requests.others")).isEqualTo(101);
        assertThat(metrics.getCounters().keySet()).contains("teams.requests.team_new");
        assertThat(metrics.getCounters().keySet()).doesNotContain("teams.requests.team_t_99");
    }
}
