package org.anvillatch.node.team;

import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;

/**
 * Admits root requests against the allowances of their teams and counts them.
 *
 * <p>Invariant: each place that was acquired for a request that did not run is released once. Owned by the decision
 * loop: all methods are called on it.
 */
public final class TeamAdmission {
    /** Permit of a request that counts for no team, such as a nested call. */
    public static final Permit UNCOUNTED = new Permit(TeamAllowances.Verdict.GRANTED, () -> {});

    private final DecisionLoop loop;
    private final HostState state;
    private final TeamMetrics metrics;
    private TeamAllowances allowances = TeamAllowances.UNLIMITED;

    /** Verdict on a request, and what to do if it does not run. Owned by the decision loop. */
    public static final class Permit {
        private final TeamAllowances.Verdict verdict;
        private final Runnable onNotRun;

        private Permit(TeamAllowances.Verdict verdict, Runnable onNotRun) {
            this.verdict = verdict;
            this.onNotRun = onNotRun;
        }

        /**
         * Returns the verdict.
         *
         * @return whether the request may run
         */
        public TeamAllowances.Verdict verdict() {
            return verdict;
        }

        /**
         * Reports the outcome of a request that was granted; called once.
         *
         * @param outcome outcome of the request
         */
        public void recordOutcome(Outcome outcome) {
            if (!outcome.mayHaveRun()) {
                onNotRun.run();
            }
        }
    }

    /**
     * Creates the admission, which grants all requests.
     *
     * @param loop loop that runs decisions
     * @param state decision state of this host
     * @param metrics registry for the counters of the teams
     */
    public TeamAdmission(DecisionLoop loop, HostState state, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.metrics = new TeamMetrics(metrics);
    }

    /**
     * Sets the allowances; called before the first request.
     *
     * @param next allowances of the teams
     */
    public void setAllowances(TeamAllowances next) {
        allowances = next;
    }

    /** Counts the requests of the current teams from now on. */
    public void teamsChanged() {
        metrics.update(state.routes().teams().all());
    }

    /** Counts a request without a valid key. */
    public void recordUnauthenticated() {
        metrics.recordUnauthenticated();
    }

    /**
     * Admits a root request, at once if its team has no allowance.
     *
     * @param team name of the request's team, empty if it has none
     * @param reply receives the permit, on the loop
     */
    public void admit(String team, Consumer<Permit> reply) {
        if (team.isEmpty()) {
            reply.accept(UNCOUNTED);
            return;
        }
        metrics.recordRequest(team);
        Optional<Team> known = state.routes().teams().findByName(team);
        if (known.isEmpty() || !known.get().hasAllowance()) {
            reply.accept(new Permit(TeamAllowances.Verdict.GRANTED, () -> metrics.recordRefusal(team)));
        } else {
            allowances.acquire(team, loop.nowMicros(), verdict -> reply.accept(counted(team, verdict)));
        }
    }

    private Permit counted(String team, TeamAllowances.Verdict verdict) {
        if (!verdict.isGranted()) {
            metrics.recordRefusal(team);
        }
        return new Permit(verdict, () -> {
            metrics.recordRefusal(team);
            allowances.release(team);
        });
    }
}
