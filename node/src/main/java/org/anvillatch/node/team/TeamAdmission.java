package org.anvillatch.node.team;

import java.util.Optional;
import java.util.function.Consumer;

import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.team.Team;
import org.anvillatch.node.loop.DecisionLoop;
import org.anvillatch.node.loop.HostState;

/**
 * Admits root requests against the allowances of their teams.
 *
 * <p>Invariant: each place that was acquired for a request that did not run is released once. Owned by the decision
 * loop: all methods are called on it.
 */
public final class TeamAdmission {
    /** Permit of a request that counts against no allowance, such as a nested call. */
    public static final Permit UNCOUNTED = new Permit(TeamAllowances.Verdict.GRANTED, () -> {});

    private final DecisionLoop loop;
    private final HostState state;
    private final TeamAllowances allowances;

    /** Verdict on a request, and what to do with its place if it does not run. Owned by the decision loop. */
    public static final class Permit {
        private final TeamAllowances.Verdict verdict;
        private final Runnable release;

        private Permit(TeamAllowances.Verdict verdict, Runnable release) {
            this.verdict = verdict;
            this.release = release;
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
                release.run();
            }
        }
    }

    /**
     * Creates the admission.
     *
     * @param loop loop that runs decisions
     * @param state decision state of this host
     * @param allowances allowances of the teams
     */
    public TeamAdmission(DecisionLoop loop, HostState state, TeamAllowances allowances) {
        this.loop = loop;
        this.state = state;
        this.allowances = allowances;
    }

    /**
     * Admits a root request, at once if its team has no allowance.
     *
     * @param team name of the request's team, empty if it has none
     * @param reply receives the permit, on the loop
     */
    public void admit(String team, Consumer<Permit> reply) {
        Optional<Team> limited =
                team.isEmpty() ? Optional.empty() : state.routes().teams().findByName(team);
        if (limited.isEmpty() || !limited.get().hasAllowance()) {
            reply.accept(UNCOUNTED);
            return;
        }
        allowances.acquire(
                team, loop.nowMicros(), verdict -> reply.accept(new Permit(verdict, () -> allowances.release(team))));
    }
}
