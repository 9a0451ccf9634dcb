package org.anvillatch.decision.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests that were running when an endpoint crashed. A request is quarantined after two crashes. Suspicions can be
 * merged in any order and any number of times: the same requests are quarantined, unless fingerprints were evicted.
 *
 * <p>Invariant: at most {@link #MAX_FINGERPRINTS} fingerprints are stored; the oldest are evicted first. Not thread
 * safe: owned by the host's decision loop.
 */
public final class CrashSuspects {
    /** Number of crashes after which a request is quarantined. */
    public static final int CRASHES_TO_QUARANTINE = 2;

    /** Maximum number of stored fingerprints. */
    public static final int MAX_FINGERPRINTS = 1_000;

    private final Map<String, Set<String>> crashes = new LinkedHashMap<>();
    private final Set<String> released = new TreeSet<>();

    /**
     * One request that was running at one crash.
     *
     * @param fingerprint fingerprint of the request's operation and body
     * @param crash identity of the crash: host, incarnation and number
     */
    public record Suspicion(String fingerprint, String crash) {}

    /**
     * Records a suspicion that was observed here or received from another host.
     *
     * @param suspicion the request and the crash
     * @return true if it was not known before
     */
    public boolean add(Suspicion suspicion) {
        Set<String> crashesOfRequest = crashes.computeIfAbsent(suspicion.fingerprint(), fingerprint -> new TreeSet<>());
        boolean isNew = crashesOfRequest.size() < CRASHES_TO_QUARANTINE && crashesOfRequest.add(suspicion.crash());
        while (crashes.size() > MAX_FINGERPRINTS) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Returns whether a request is quarantined and must not run.
     *
     * @param fingerprint fingerprint of the request's operation and body
     * @return true after two crashes, until the request is released
     */
    public boolean isQuarantined(String fingerprint) {
        return !released.contains(fingerprint)
                && crashes.getOrDefault(fingerprint, Set.of()).size() >= CRASHES_TO_QUARANTINE;
    }

    /**
     * Returns whether a request was running at a crash.
     *
     * @param fingerprint fingerprint of the request's operation and body
     * @return true after the first crash, until the request is released
     */
    public boolean isSuspect(String fingerprint) {
        return crashes.containsKey(fingerprint) && !released.contains(fingerprint);
    }

    /**
     * Sets the requests that operators have released.
     *
     * @param fingerprints fingerprints of the released requests
     */
    public void release(Set<String> fingerprints) {
        released.clear();
        released.addAll(fingerprints);
    }

    /**
     * Returns all suspicions, for another host.
     *
     * @return suspicions, oldest request first
     */
    public List<Suspicion> all() {
        List<Suspicion> all = new ArrayList<>();
        crashes.forEach((fingerprint, crashesOfRequest) ->
                crashesOfRequest.forEach(crash -> all.add(new Suspicion(fingerprint, crash))));
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
