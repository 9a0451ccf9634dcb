package org.anvillatch.decision.admission;

/**
 * Mechanisms that can be switched off to measure what they are worth. Immutable and thread safe.
 *
 * @param shedLevels refuse by shed level before work queues
 * @param dropDoomed refuse work whose remaining time is shorter than half the usual execution
 */
public record AdmissionFeatures(boolean shedLevels, boolean dropDoomed) {
    /** Everything in use. */
    public static final AdmissionFeatures ALL = new AdmissionFeatures(true, true);
}
