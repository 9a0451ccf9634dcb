package org.anvillatch.decision.rejection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;

import org.anvillatch.decision.model.Rank;

/**
 * Decides at an endpoint of a service that rejects a part of its requests which rejected calls are retried. All requests
 * for a service pass the gatekeepers of its endpoints, so these keep the account of the service's retry bound together:
 * each first arrival adds a fraction of a retry, each retry takes one, whoever paid for it.
 *
 * <p>Retries are granted to call trees from a rank on, so that these complete instead of each tree getting a little
 * further. The rank follows from the calls that trees make while nothing is rejected, since trees that fail make fewer
 * calls than they need. A rejected call of a chosen tree is held until the account has a retry for it; the tree that has
 * completed most calls gets it first.
 *
 * <p>Invariants: in any period, the granted retries and those that senders paid for are at most {@code ratio x first
 * arrivals + slack}, as long as senders pay for no more than the account has gained; each held call is released once. Not
 * thread safe: owned by the host's decision loop.
 */
public final class RetryGrants {
    /** Time between two adjustments of the level, in microseconds. */
    static final long STEP_MICROS = 100_000;

    /**
     * Time constant of the average of the usual calls, in microseconds: several times the duration of a call tree, and
     * short enough to follow the daily load.
     */
    static final double USUAL_MICROS = 3_000_000;

    /** Time constant of the average of the calls of trees that were not chosen, in microseconds. */
    private static final double RECENT_MICROS = 300_000;

    /** Time in which a balance other than its target is to be corrected, in seconds: a few durations of a call tree. */
    private static final double CORRECTION_SECONDS = 1;

    /** Target of the balance as a fraction of the slack, so that a tree's next retry does not have to wait. */
    private static final double TARGET_BALANCE_RATIO = 0.25;

    /**
     * Number of retries by which one held call lowers what is affordable. Its tree will need more retries after this one;
     * with a weight of 1, half of the chosen trees of the model waited until their deadline.
     */
    private static final double HELD_WEIGHT = 2;

    /** Maximum number of retries that a call is assumed to need; routes permit few attempts. */
    private static final double MAX_RETRIES_PER_CALL = 3;

    /** Minimum part of the highest importance that is chosen: some trees always get what the balance permits. */
    private static final double MIN_PART = 0.02;

    /** Minimum average of calls with which an importance counts as in use. */
    private static final double MIN_CALLS = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double ratio;
    private final DoubleSupplier slack;
    private final RejectionRatio rejected = new RejectionRatio();
    private final double[] usualCalls = new double[Rank.IMPORTANCE_LEVELS];
    private final TreeSet<Held> held = new TreeSet<>(Comparator.comparingInt(Held::rank)
            .thenComparingInt(Held::completedCalls)
            .reversed()
            .thenComparingLong(Held::number));
    private boolean wholeService;
    private long nextHeld;
    private double balance;
    private double callsBelow;
    private int level;
    private long steppedMicros;

    /** A rejected call of a chosen tree that waits for a retry. */
    private record Held(long execution, int rank, int completedCalls, long number, long untilMicros) {}

    /**
     * The end of the wait of a held call. Immutable and thread safe.
     *
     * @param execution identity of the dispatch
     * @param granted whether the call gets a retry, which then counts as made
     */
    public record Release(long execution, boolean granted) {}

    /**
     * Creates an account without retries: one that began with its slack would let a gatekeeper that restarts spend it
     * again.
     *
     * @param ratio retries that each first arrival adds
     * @param slack maximum balance, which may change with the number of endpoints that share it
     */
    public RetryGrants(double ratio, DoubleSupplier slack) {
        this.ratio = ratio;
        this.slack = slack;
    }

    /**
     * Records whether the service as a whole rejects requests. While only some of its endpoints do, the others are
     * preferred, and retries are left to the senders.
     *
     * @param whole whether at least half of the endpoints reject requests
     */
    public void recordScope(boolean whole) {
        wholeService = whole;
    }

    /**
     * Records that a request is sent to the endpoint.
     *
     * @param start which retry bound it counts against
     * @param rank rank of its root request
     * @param nowMicros current time in microseconds
     */
    public void recordArrival(CallStart start, int rank, long nowMicros) {
        step(nowMicros);
        if (start == CallStart.RETRY) {
            balance--;
        }
        if (start != CallStart.FIRST) {
            return;
        }
        balance = Math.min(slack.getAsDouble(), balance + ratio);
        usualCalls[Rank.importance(rank)] += isActive(nowMicros) ? 0 : 1;
        callsBelow += rank < level ? 1 : 0;
    }

    /**
     * Records the end of a request that the endpoint did not reject.
     *
     * @param nowMicros current time in microseconds
     */
    public void recordAccepted(long nowMicros) {
        rejected.record(false, nowMicros);
        step(nowMicros);
    }

    /**
     * Records that the endpoint rejected a request, and decides whether it is held until it gets a retry.
     *
     * @param execution identity of the dispatch
     * @param call the call
     * @param nowMicros current time in microseconds
     * @return true if it is held, false if it gets no retry
     */
    public boolean recordRejected(long execution, RejectedCall call, long nowMicros) {
        rejected.record(true, nowMicros);
        step(nowMicros);
        int retryRank = call.progress().retryRank(call.rank());
        if (!call.retryable() || !isActive(nowMicros) || retryRank < level) {
            return false;
        }
        held.add(new Held(execution, retryRank, call.progress().completedCalls(), nextHeld++, call.holdUntilMicros()));
        return true;
    }

    /**
     * Releases the held calls for which there is a retry, whose time is over or whose tree can no longer complete.
     *
     * @param nowMicros current time in microseconds
     * @return the released calls, each of which was held
     */
    public List<Release> release(long nowMicros) {
        if (held.isEmpty()) {
            return List.of();
        }
        boolean active = isActive(nowMicros);
        List<Release> released = new ArrayList<>();
        for (Iterator<Held> iterator = held.iterator(); iterator.hasNext(); ) {
            Held next = iterator.next();
            boolean granted = balance >= 1;
            if (granted || nowMicros >= next.untilMicros() || !active || next.rank() < level) {
                balance -= granted ? 1 : 0;
                released.add(new Release(next.execution(), granted));
                iterator.remove();
            }
        }
        return released;
    }

    /**
     * Stops holding a call.
     *
     * @param execution identity of the dispatch
     * @return whether it was held
     */
    public boolean cancel(long execution) {
        return held.removeIf(entry -> entry.execution() == execution);
    }

    /**
     * Returns the number of calls that are held.
     *
     * @return 0 or more
     */
    public int held() {
        return held.size();
    }

    /**
     * Returns whether retries are granted by rank.
     *
     * @param nowMicros current time in microseconds
     * @return false while the service rejects few requests or the ratio is not known; senders then pay for retries
     */
    public boolean isActive(long nowMicros) {
        return ratio(nowMicros) > 0;
    }

    /**
     * Returns the rejected fraction of the recent arrivals.
     *
     * @param nowMicros current time in microseconds
     * @return 0 if it is not known, too low to matter, or that of a few endpoints only
     */
    public double ratio(long nowMicros) {
        return wholeService ? rejected.ratio(nowMicros) : 0;
    }

    /**
     * Returns the lowest rank of the call trees that get retries.
     *
     * @return 0 if there are retries for all
     */
    public int level() {
        return level;
    }

    /**
     * Returns the retries that can be granted now.
     *
     * @return number of retries, negative if senders paid for more than the account had
     */
    public double balance() {
        return balance;
    }

    private void step(long nowMicros) {
        long elapsed = nowMicros - steppedMicros;
        if (elapsed < STEP_MICROS) {
            return;
        }
        steppedMicros = nowMicros;
        callsBelow *= Math.exp(-elapsed / RECENT_MICROS);
        if (isActive(nowMicros)) {
            level = affordableLevel(ratio(nowMicros));
            return;
        }
        level = 0;
        double factor = Math.exp(-elapsed / USUAL_MICROS);
        for (int importance = 0; importance < usualCalls.length; importance++) {
            usualCalls[importance] *= factor;
        }
    }

    /** Returns the lowest rank from which on the account can pay for the retries of all calls until they are accepted. */
    private int affordableLevel(double rejectedRatio) {
        double retriesPerCall = Math.min(MAX_RETRIES_PER_CALL, rejectedRatio / (1 - rejectedRatio));
        double netPerCall = retriesPerCall - ratio;
        if (netPerCall <= 0) {
            return 0;
        }
        double target = slack.getAsDouble() * TARGET_BALANCE_RATIO;
        double affordable = callsBelow * MICROS_PER_SECOND / RECENT_MICROS * ratio
                + (balance - HELD_WEIGHT * held.size() - target) / CORRECTION_SECONDS;
        int highest = highestImportance();
        for (int importance = highest; importance >= 0; importance--) {
            double needed = usualCalls[importance] * MICROS_PER_SECOND / USUAL_MICROS * netPerCall;
            if (needed > affordable) {
                double part = Math.max(importance == highest ? MIN_PART : 0, affordable / needed);
                return (importance + 1) * Rank.BUCKETS - (int) Math.ceil(part * Rank.BUCKETS);
            }
            affordable -= needed;
        }
        return 0;
    }

    private int highestImportance() {
        int importance = Rank.IMPORTANCE_LEVELS - 1;
        while (importance > 0 && usualCalls[importance] < MIN_CALLS) {
            importance--;
        }
        return importance;
    }
}
