package org.anvillatch.node.team;

import java.util.function.Consumer;

/**
 * Limits the root requests of a team over all hosts together. Owned by the decision loop: all methods are called on it,
 * and verdicts are delivered on it.
 */
public interface TeamAllowances {
    /** Grants every request at once. */
    TeamAllowances UNLIMITED = new TeamAllowances() {
        @Override
        public void acquire(String team, long nowMicros, Consumer<Verdict> reply) {
            reply.accept(Verdict.GRANTED);
        }

        @Override
        public void release(String team) {}
    };

    /**
     * Whether a request is within its team's allowance. Immutable and thread safe.
     *
     * @param isGranted whether the request may run
     * @param retryMicros time in microseconds until capacity is available again, 0 if the request is granted
     */
    record Verdict(boolean isGranted, long retryMicros) {
        /** The request may run. */
        public static final Verdict GRANTED = new Verdict(true, 0);

        /**
         * Creates the verdict that a request must not run.
         *
         * @param retryMicros time in microseconds until capacity is available again
         * @return the verdict
         */
        public static Verdict refused(long retryMicros) {
            return new Verdict(false, retryMicros);
        }
    }

    /**
     * Requests a place in a team's allowance for one root request.
     *
     * @param team name of a team that has an allowance
     * @param nowMicros current time in microseconds
     * @param reply receives the verdict once, during this call or later
     */
    void acquire(String team, long nowMicros, Consumer<Verdict> reply);

    /**
     * Returns the place of a granted request that certainly has not run.
     *
     * @param team name of the team
     */
    void release(String team);
}
