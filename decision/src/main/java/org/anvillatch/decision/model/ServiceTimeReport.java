package org.anvillatch.decision.model;

/**
 * Service time of one operation at one endpoint, that is, the time of an execution without its nested calls. Immutable
 * and thread safe.
 *
 * @param usualMicros mean service time at the usual pace of the endpoint's machine, in microseconds
 * @param pacePercent time that work takes on that machine now, in percent of the usual time
 */
public record ServiceTimeReport(long usualMicros, int pacePercent) {
    /** Time that work takes at the usual pace, in percent. */
    public static final int USUAL_PACE_PERCENT = 100;

    /**
     * Returns the service time at another pace.
     *
     * @param percent time that work takes, in percent of the usual time
     * @return service time in microseconds
     */
    public long microsAt(int percent) {
        return usualMicros * percent / USUAL_PACE_PERCENT;
    }
}
