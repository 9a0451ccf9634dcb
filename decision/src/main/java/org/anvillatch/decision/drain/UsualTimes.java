package org.anvillatch.decision.drain;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.anvillatch.decision.model.OperationName;

/**
 * The time that calls of each operation usually take, as this host has seen it: the mean plus four mean deviations, with
 * the weights of TCP's retransmission timeout (RFC 6298), which few calls exceed. Not thread safe: owned by the host's
 * decision loop.
 *
 * <p>Invariant: at most {@link #MAX_OPERATIONS} operations are kept, those that were seen first.
 */
public final class UsualTimes {
    /** Maximum number of operations: routes times services of a large route table. */
    private static final int MAX_OPERATIONS = 10_000;

    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int DEVIATIONS = 4;

    private final Map<OperationName, Estimate> estimates = new HashMap<>();

    private record Estimate(double meanMicros, double deviationMicros) {
        Estimate plus(long micros) {
            double deviation = Math.abs(micros - meanMicros);
            return new Estimate(
                    meanMicros + (micros - meanMicros) * MEAN_WEIGHT,
                    deviationMicros + (deviation - deviationMicros) * DEVIATION_WEIGHT);
        }
    }

    /**
     * Adds the duration of a call that was answered completely.
     *
     * @param operation operation of the call
     * @param micros duration in microseconds
     */
    public void add(OperationName operation, long micros) {
        Estimate before = estimates.get(operation);
        if (before != null) {
            estimates.put(operation, before.plus(micros));
        } else if (estimates.size() < MAX_OPERATIONS) {
            estimates.put(operation, new Estimate(micros, micros / 2.0));
        }
    }

    /**
     * Returns the usual time of an operation.
     *
     * @param operation the operation
     * @return microseconds, empty if no call of it was answered completely yet
     */
    public OptionalLong micros(OperationName operation) {
        Estimate estimate = estimates.get(operation);
        return estimate == null
                ? OptionalLong.empty()
                : OptionalLong.of((long) (estimate.meanMicros() + DEVIATIONS * estimate.deviationMicros()));
    }

    /**
     * Returns whether a call is expected to end in time.
     *
     * @param operation operation of the call
     * @param deadlineMicros time at which the call expires, in microseconds
     * @param nowMicros current time in microseconds
     * @param endMicros time by which it must have ended, in microseconds
     * @param ifUnknown result for an operation without a usual time whose deadline is later than the end
     * @return true if its deadline or its usual time is not later than the end
     */
    public boolean endsBy(
            OperationName operation, long deadlineMicros, long nowMicros, long endMicros, boolean ifUnknown) {
        if (deadlineMicros <= endMicros) {
            return true;
        }
        OptionalLong usual = micros(operation);
        return usual.isPresent() ? nowMicros + usual.getAsLong() <= endMicros : ifUnknown;
    }
}
