package org.anvillatch.decision.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests that were running when an endpoint crashed. Two crashes quarantine a request. Tables of different hosts
 * merge in any order and any number of times with the same result.
 *
 * <p>Invariant: at most {@link #CAPACITY} fingerprints are remembered, oldest forgotten first. Not thread safe: owned by
 * the host's decision loop.
 */
public final class CrashSuspects {
    /** Crashes after which a request is quarantined. */
    public static final int CRASHES_TO_QUARANTINE = 2;

    /** Number of fingerprints that are remembered. */
    public static final int CAPACITY = 1_000;

    private final Map<String, Set<String>> crashes = new LinkedHashMap<>();
    private final Set<String> released = new TreeSet<>();

    /**
     * A crash with one request that was running.
     *
     * @param fingerprint operation and body of the request
     * @param crash identity of the crash: host, incarnation and number
     */
    public record Suspicion(String fingerprint, String crash) {}

    /**
     * Records a suspicion, seen here or heard from another host.
     *
     * @param suspicion the request and the crash
     * @return true if it was not known before
     */
    public boolean add(Suspicion suspicion) {
        Set<String> known = crashes.computeIfAbsent(suspicion.fingerprint(), fingerprint -> new TreeSet<>());
        boolean isNew = known.size() < CRASHES_TO_QUARANTINE && known.add(suspicion.crash());
        while (crashes.size() > CAPACITY) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Tells whether a request must not run.
     *
     * @param fingerprint operation and body of the request
     * @return true after two crashes, until it is released
     */
    public boolean isQuarantined(String fingerprint) {
        return !released.contains(fingerprint)
                && crashes.getOrDefault(fingerprint, Set.of()).size() >= CRASHES_TO_QUARANTINE;
    }

    /**
     * Tells whether a request was running at a crash.
     *
     * @param fingerprint operation and body of the request
     * @return true after the first crash
     */
    public boolean isSuspect(String fingerprint) {
        return crashes.containsKey(fingerprint) && !released.contains(fingerprint);
    }

    /**
     * Sets which requests operators have released.
     *
     * @param fingerprints released requests
     */
    public void release(Set<String> fingerprints) {
        released.clear();
        released.addAll(fingerprints);
    }

    /**
     * Returns everything that is known, for another host.
     *
     * @return suspicions, oldest request first
     */
    public List<Suspicion> all() {
        List<Suspicion> all = new ArrayList<>();
        crashes.forEach((fingerprint, known) -> known.forEach(crash -> all.add(new Suspicion(fingerprint, crash))));
        return all;
    }

    /**
     * Returns the quarantined requests.
     *
     * @return fingerprints, oldest first
     */
    public List<String> quarantined() {
        return crashes.keySet().stream().filter(this::isQuarantined).toList();
    }
}
