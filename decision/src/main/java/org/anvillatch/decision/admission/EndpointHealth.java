package org.anvillatch.decision.admission;

/**
 * Tells from how executions end whether an endpoint fails work by itself, whatever its health check says. The gatekeeper sees
 * every execution of its endpoint, so it knows within a few of them what each sender alone would learn late.
 *
 * <p>Invariant: an endpoint that gets no work is taken for sound after at most {@code LONGEST_REST_MICROS}. Not thread safe:
 * owned by the host's decision loop.
 */
final class EndpointHealth {
    /**
     * Share of faults from which an endpoint is taken for failing: a tree of eight calls loses more than half of its
     * successes there.
     */
    static final double FAILING_SHARE = 0.1;

    /** Faults, as weighed by age, that are needed besides; fewer may be chance. */
    static final double FAILING_FAULTS = 3;

    /** Time in which the weight of an execution falls to a half, in microseconds: the load of a second decides. */
    private static final double HALF_LIFE_MICROS = 1_000_000;

    /** Executions that are weighed at most, so that a busy endpoint is found by count before it is by time. */
    private static final double MOST_WEIGHED = 100;

    /** First time for which other endpoints are preferred, in microseconds. */
    static final long FIRST_REST_MICROS = 1_000_000;

    /** Longest time of that kind, in microseconds: what a caller with a deadline of seconds can still wait for. */
    static final long LONGEST_REST_MICROS = 4_000_000;

    /** Time after a rest in which new faults lengthen the next one, in microseconds. */
    private static final long RELAPSE_MICROS = 4_000_000;

    private double ended;
    private double faults;
    private long weighedMicros;
    private long restMicros = FIRST_REST_MICROS;
    private long failingUntilMicros = Long.MIN_VALUE;

    /**
     * Notes that an execution has ended.
     *
     * @param fault whether the endpoint itself failed it
     * @param nowMicros current time
     */
    void ended(boolean fault, long nowMicros) {
        weigh(nowMicros);
        ended++;
        if (!fault) {
            return;
        }
        faults++;
        if (!isFailing(nowMicros) && faults >= FAILING_FAULTS && faults >= ended * FAILING_SHARE) {
            boolean relapse = failingUntilMicros != Long.MIN_VALUE && nowMicros - failingUntilMicros < RELAPSE_MICROS;
            restMicros = relapse ? Math.min(LONGEST_REST_MICROS, restMicros * 2) : FIRST_REST_MICROS;
            failingUntilMicros = nowMicros + restMicros;
            faults = 0;
            ended = 0;
        }
    }

    private void weigh(long nowMicros) {
        double byAge = Math.pow(0.5, (nowMicros - weighedMicros) / HALF_LIFE_MICROS);
        double factor = Math.min(byAge, MOST_WEIGHED / Math.max(MOST_WEIGHED, ended));
        ended *= factor;
        faults *= factor;
        weighedMicros = nowMicros;
    }

    /**
     * Tells whether other endpoints are to be preferred.
     *
     * @param nowMicros current time
     * @return true for a bounded time after faults
     */
    boolean isFailing(long nowMicros) {
        return nowMicros < failingUntilMicros;
    }
}
