package org.anvillatch.decision.drain;

/** What a report of an endpoint changes at the node beside it. Immutable and thread safe. */
public enum ReportResult {
    /** The report describes the current process of the endpoint. */
    CURRENT(true),
    /** The sender is recorded as leaving and is not the current process. */
    LEAVING_RECORDED(true),
    /** The report says that the sender is ready, but it has reported before that it is leaving. */
    ALREADY_LEAVING(true),
    /** A later report of the same process was applied before. */
    SUPERSEDED(true),
    /** It is not known whether the sender or the current process runs now; the report changes nothing. */
    UNDECIDED(false);

    private final boolean acknowledged;

    ReportResult(boolean acknowledged) {
        this.acknowledged = acknowledged;
    }

    /**
     * Returns whether the report may be acknowledged.
     *
     * @return false if the report was not taken into account
     */
    public boolean isAcknowledged() {
        return acknowledged;
    }
}
