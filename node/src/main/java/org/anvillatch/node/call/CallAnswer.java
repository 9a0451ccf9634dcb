package org.anvillatch.node.call;

import java.util.List;

import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Answer of a call. Immutable and thread safe.
 *
 * @param outcome what became of the call
 * @param reason why it was not run, null if it may have run
 * @param status HTTP status of the endpoint's answer, 0 if there is none
 * @param body the endpoint's answer
 * @param unspentRetries retries that were given and not spent
 * @param report load and shed level of the endpoint's host
 * @param firstOutcome for a duplicate, what became of the first attempt; else null
 * @param host name of the host that ran or refused the call, empty if none was chosen
 * @param detail explanation for people
 * @param suspicions requests known to have run when an endpoint crashed
 * @param headers fields of the endpoint's answer that are passed on unread, may be empty
 */
public record CallAnswer(
        Outcome outcome,
        RefusalReason reason,
        int status,
        CallBody body,
        int unspentRetries,
        LoadReport report,
        Outcome firstOutcome,
        String host,
        String detail,
        List<CrashSuspects.Suspicion> suspicions,
        List<HeaderField> headers)
        implements PeerMessage {
    /**
     * Load of the endpoint's host. Immutable and thread safe.
     *
     * @param level lowest rank admitted for the operation
     * @param busy executions that run or wait
     * @param durationMicros how long the execution took, 0 if it did not run
     * @param queuedMicros how long the call and the calls below it waited for slots
     * @param endpointFault whether the endpoint failed the call before it made any of its own
     */
    public record LoadReport(int level, int busy, long durationMicros, long queuedMicros, boolean endpointFault) {
        /** Nothing is known. */
        public static final LoadReport NONE = new LoadReport(0, 0, 0, 0);

        /**
         * Creates the report of a call that the endpoint did not fail.
         *
         * @param level lowest rank admitted for the operation
         * @param busy executions that run or wait
         * @param durationMicros how long the execution took, 0 if it did not run
         * @param queuedMicros how long the call and the calls below it waited for slots
         */
        public LoadReport(int level, int busy, long durationMicros, long queuedMicros) {
            this(level, busy, durationMicros, queuedMicros, false);
        }
    }

    /**
     * Creates the answer of a call that was not run.
     *
     * @param reason why
     * @param detail explanation for people
     * @param report load of the host
     * @param unspentRetries retries that were given and not spent
     * @param host name of the host that refuses
     * @return the answer
     */
    public static CallAnswer refused(
            RefusalReason reason, String detail, LoadReport report, int unspentRetries, String host) {
        return new CallAnswer(
                Outcome.NOT_RUN,
                reason,
                0,
                CallBody.EMPTY,
                unspentRetries,
                report,
                null,
                host,
                detail,
                List.of(),
                List.of());
    }

    /**
     * Creates the answer of a call of which nothing is known.
     *
     * @param detail explanation for people
     * @param host name of the host that may have run it
     * @param suspicions requests that may have crashed the endpoint
     * @return the answer, which gives back no retries
     */
    public static CallAnswer unknown(String detail, String host, List<CrashSuspects.Suspicion> suspicions) {
        return new CallAnswer(
                Outcome.UNKNOWN,
                null,
                0,
                CallBody.EMPTY,
                0,
                LoadReport.NONE,
                null,
                host,
                detail,
                suspicions,
                List.of());
    }

    /**
     * Creates the answer of a key that was claimed before.
     *
     * @param first what became of the first attempt
     * @param detail explanation for people
     * @param host name of the host that owns the key
     * @return the answer
     */
    public static CallAnswer duplicate(Outcome first, String detail, String host) {
        return new CallAnswer(
                Outcome.DUPLICATE,
                null,
                0,
                CallBody.EMPTY,
                0,
                LoadReport.NONE,
                first,
                host,
                detail,
                List.of(),
                List.of());
    }

    /**
     * Returns the same answer with the retries that the sender has left.
     *
     * @param retries unspent retries
     * @return a copy
     */
    public CallAnswer withUnspentRetries(int retries) {
        return new CallAnswer(
                outcome, reason, status, body, retries, report, firstOutcome, host, detail, suspicions, headers);
    }

    /**
     * Returns the same answer with another load report.
     *
     * @param newReport the report
     * @return a copy
     */
    public CallAnswer withReport(LoadReport newReport) {
        return new CallAnswer(
                outcome,
                reason,
                status,
                body,
                unspentRetries,
                newReport,
                firstOutcome,
                host,
                detail,
                suspicions,
                headers);
    }
}
