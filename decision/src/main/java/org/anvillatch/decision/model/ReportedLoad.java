package org.anvillatch.decision.model;

/**
 * Load that one process of an endpoint reports in an answer. Immutable and thread safe.
 *
 * @param running number of requests that the process runs
 * @param waiting number of requests that wait for a slot
 * @param slots number of requests that the process can run at a time
 * @param pacePercent time that work takes on its machine now, in percent of the usual time; 0 if not reported
 */
public record ReportedLoad(int running, int waiting, int slots, int pacePercent) {
    /**
     * Returns whether the pace of the machine is reported.
     *
     * @return false if the pace is not known
     */
    public boolean hasPace() {
        return pacePercent > 0;
    }
}
