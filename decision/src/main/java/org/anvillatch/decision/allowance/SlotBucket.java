package org.anvillatch.decision.allowance;

import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;

/**
 * Token bucket of one slot at its owner. Tokens that were handed out occupy the bucket until they have expired.
 *
 * <p>Invariant: tokens in the bucket and valid tokens on hosts are together never more than the capacity, unless tokens
 * were given back after they had expired here. Requests that start with tokens of this bucket in {@code t} seconds are
 * therefore at most {@code rate * t + capacity}. Not thread safe: owned by the host's decision loop.
 */
final class SlotBucket {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MAX_WAIT_MICROS = 10_000_000;

    private record Handout(String host, int tokens, long expiryMicros) {}

    private final PriorityQueue<Handout> handouts =
            new PriorityQueue<>(Comparator.comparingLong(Handout::expiryMicros));
    private double rate;
    private double capacity;
    private double tokens;
    private int occupied;
    private long refilledMicros;

    /**
     * Creates an empty bucket.
     *
     * @param rate tokens a second
     * @param capacity maximum number of tokens
     * @param nowMicros current time in microseconds
     */
    SlotBucket(double rate, double capacity, long nowMicros) {
        this.rate = rate;
        this.capacity = capacity;
        this.refilledMicros = nowMicros;
    }

    /**
     * Changes the limits.
     *
     * @param newRate tokens a second
     * @param newCapacity maximum number of tokens
     * @param nowMicros current time in microseconds
     */
    void configure(double newRate, double newCapacity, long nowMicros) {
        refill(nowMicros);
        rate = newRate;
        capacity = newCapacity;
        tokens = Math.min(tokens, Math.max(0, capacity - occupied));
    }

    /**
     * Takes tokens for a host.
     *
     * @param host name of the host
     * @param maximum maximum number of tokens
     * @param validMicros time for which they occupy the bucket, in microseconds
     * @param nowMicros current time in microseconds
     * @return number of tokens taken
     */
    int take(String host, int maximum, long validMicros, long nowMicros) {
        int taken = Math.min(maximum, available(nowMicros));
        if (taken > 0) {
            tokens -= taken;
            occupied += taken;
            handouts.add(new Handout(host, taken, nowMicros + validMicros));
        }
        return taken;
    }

    /**
     * Returns how many tokens can be taken.
     *
     * @param nowMicros current time in microseconds
     * @return at least 0
     */
    int available(long nowMicros) {
        refill(nowMicros);
        return (int) tokens;
    }

    /**
     * Adds tokens that a host did not use.
     *
     * @param host name of the host
     * @param unused number of tokens
     * @param nowMicros current time in microseconds
     */
    void giveBack(String host, int unused, long nowMicros) {
        refill(nowMicros);
        int remaining = unused;
        Iterator<Handout> iterator = handouts.iterator();
        Handout rest = null;
        while (remaining > 0 && rest == null && iterator.hasNext()) {
            Handout handout = iterator.next();
            if (handout.host().equals(host)) {
                iterator.remove();
                int matched = Math.min(remaining, handout.tokens());
                remaining -= matched;
                occupied -= matched;
                if (matched < handout.tokens()) {
                    rest = new Handout(host, handout.tokens() - matched, handout.expiryMicros());
                }
            }
        }
        if (rest != null) {
            handouts.add(rest);
        }
        tokens = Math.max(tokens, Math.min(tokens + unused, capacity - occupied));
    }

    /**
     * Returns the time until a number of tokens can be taken.
     *
     * @param wanted number of tokens
     * @param nowMicros current time in microseconds
     * @return time in microseconds, 0 if they are available, at most 10 s
     */
    long waitMicros(int wanted, long nowMicros) {
        refill(nowMicros);
        double micros = Math.ceil(Math.max(0, wanted - tokens) / rate * MICROS_PER_SECOND);
        return (long) Math.min(MAX_WAIT_MICROS, micros);
    }

    /**
     * Returns the rate.
     *
     * @return tokens a second
     */
    double rate() {
        return rate;
    }

    /**
     * Returns the capacity.
     *
     * @return tokens
     */
    double capacity() {
        return capacity;
    }

    private void refill(long nowMicros) {
        while (!handouts.isEmpty() && handouts.peek().expiryMicros() <= nowMicros) {
            Handout expired = handouts.remove();
            refillUntil(expired.expiryMicros());
            occupied -= expired.tokens();
        }
        refillUntil(nowMicros);
    }

    private void refillUntil(long micros) {
        if (micros > refilledMicros) {
            double gained = (micros - refilledMicros) * rate / MICROS_PER_SECOND;
            tokens = Math.max(tokens, Math.min(tokens + gained, capacity - occupied));
            refilledMicros = micros;
        }
    }
}
