package org.anvillatch.decision.admission;

/**
 * Admission mechanisms that can be disabled to measure the effect of each. Immutable and thread safe.
 *
 * @param shedLevels whether shed levels are reported to senders, and root requests below the level of their nested
 *     calls are refused before they are queued
 * @param dropDoomed whether work is refused that is not expected to finish before its deadline
 */
public record AdmissionFeatures(boolean shedLevels, boolean dropDoomed) {
    /** All mechanisms enabled. */
    public static final AdmissionFeatures ALL = new AdmissionFeatures(true, true);
}
