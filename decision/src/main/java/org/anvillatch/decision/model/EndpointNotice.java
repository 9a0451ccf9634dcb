package org.anvillatch.decision.model;

/**
 * What one process of an endpoint says about itself in its answers. Immutable and thread safe.
 *
 * @param instance identity of the process
 * @param maxRequestsPerSecond number of requests per second that the process accepts from all hosts together; positive
 *     infinity if it names no limit, NaN if it names one that cannot be read, which restricts nothing
 * @param leaving whether the process is leaving
 * @param load load that the process reports, null if it reports none
 */
public record EndpointNotice(String instance, double maxRequestsPerSecond, boolean leaving, ReportedLoad load) {
    /**
     * Creates the notice of a process that reports no load.
     *
     * @param instance identity of the process
     * @param maxRequestsPerSecond number of requests per second that the process accepts
     * @param leaving whether the process is leaving
     */
    public EndpointNotice(String instance, double maxRequestsPerSecond, boolean leaving) {
        this(instance, maxRequestsPerSecond, leaving, null);
    }

    /**
     * Creates the notice of a process that names no limit and is not leaving.
     *
     * @param instance identity of the process
     * @return the notice
     */
    public static EndpointNotice unrestricted(String instance) {
        return new EndpointNotice(instance, Double.POSITIVE_INFINITY, false);
    }

    /**
     * Returns whether the process names a limit.
     *
     * @return true if the limit is finite
     */
    public boolean isLimited() {
        return Double.isFinite(maxRequestsPerSecond);
    }

    /**
     * Returns whether the notice says anything that senders must obey.
     *
     * @return true if the process names a limit or is leaving
     */
    public boolean isRestriction() {
        return isLimited() || leaving;
    }
}
