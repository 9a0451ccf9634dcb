package org.anvillatch.node.call;

import java.util.List;

import org.anvillatch.decision.model.EndpointNotice;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.model.ServiceTimeReport;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.decision.rejection.ServiceRejection;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Answer to a call. Immutable and thread safe.
 *
 * @param outcome outcome of the call
 * @param reason why the call was refused, null if it may have run
 * @param status HTTP status of the endpoint's response, 0 if there is none
 * @param body body of the endpoint's response
 * @param unspentRetries retries that were granted and not spent
 * @param report load and shed level of the endpoint's host
 * @param firstOutcome outcome of the first attempt if this one is a duplicate, otherwise null
 * @param host name of the host that ran or refused the call, empty if none was chosen
 * @param detail human-readable explanation
 * @param suspicions requests that were running when an endpoint crashed
 * @param headers header fields of the endpoint's response that are forwarded unchanged, may be empty
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
     * @param inFlight number of executions that are running or queued
     * @param durationMicros duration of the execution, 0 if it did not run
     * @param queuedMicros time that the call and its nested calls were queued for slots
     * @param endpointFault whether the endpoint itself failed the call, without having made any nested call
     * @param notice restriction that the endpoint names, null if it names none
     * @param rejections services that reject requests and that an execution of the operation calls, including its own
     * @param retryGranted whether the sender may retry a rejected call at no cost of its own
     * @param serviceTime service time of the operation at the endpoint, null if it is not known or the endpoint does not
     *     report the pace of its machine
     */
    public record LoadReport(
            int level,
            int inFlight,
            long durationMicros,
            long queuedMicros,
            boolean endpointFault,
            EndpointNotice notice,
            List<ServiceRejection> rejections,
            boolean retryGranted,
            ServiceTimeReport serviceTime) {
        /** Report without any information. */
        public static final LoadReport NONE = new LoadReport(0, 0, 0, 0);

        /**
         * Creates the report for a call that the endpoint itself did not fail, without a restriction.
         *
         * @param level lowest rank admitted for the operation
         * @param inFlight number of executions that are running or queued
         * @param durationMicros duration of the execution, 0 if it did not run
         * @param queuedMicros time that the call and its nested calls were queued for slots
         */
        public LoadReport(int level, int inFlight, long durationMicros, long queuedMicros) {
            this(level, inFlight, durationMicros, queuedMicros, false, null);
        }

        /**
         * Creates a report that names no rejecting service.
         *
         * @param level lowest rank admitted for the operation
         * @param inFlight number of executions that are running or queued
         * @param durationMicros duration of the execution, 0 if it did not run
         * @param queuedMicros time that the call and its nested calls were queued for slots
         * @param endpointFault whether the endpoint itself failed the call, without having made any nested call
         * @param notice restriction that the endpoint names, null if it names none
         */
        public LoadReport(
                int level,
                int inFlight,
                long durationMicros,
                long queuedMicros,
                boolean endpointFault,
                EndpointNotice notice) {
            this(level, inFlight, durationMicros, queuedMicros, endpointFault, notice, List.of(), false, null);
        }

        /**
         * Returns whether a service rejects so many requests that its gatekeepers grant the retries.
         *
         * @param service name of the service
         * @return true if the report names it
         */
        public boolean namesRejecting(String service) {
            return rejections.stream().anyMatch(rejection -> rejection.service().equals(service));
        }

        /**
         * Returns a copy of this report with the rejecting services.
         *
         * @param services services that reject requests
         * @param granted whether the sender may retry a rejected call at no cost of its own
         * @return the copy
         */
        public LoadReport withRejections(List<ServiceRejection> services, boolean granted) {
            return new LoadReport(
                    level,
                    inFlight,
                    durationMicros,
                    queuedMicros,
                    endpointFault,
                    notice,
                    services,
                    granted,
                    serviceTime);
        }

        /**
         * Returns a copy of this report with the service time of the operation.
         *
         * @param time service time, or null
         * @return the copy
         */
        public LoadReport withServiceTime(ServiceTimeReport time) {
            return new LoadReport(
                    level,
                    inFlight,
                    durationMicros,
                    queuedMicros,
                    endpointFault,
                    notice,
                    rejections,
                    retryGranted,
                    time);
        }
    }

    /**
     * Creates the answer to a call that was not run.
     *
     * @param reason why the call was refused
     * @param detail human-readable explanation
     * @param report load of the refusing host
     * @param unspentRetries retries that were granted and not spent
     * @param host name of the refusing host, empty if none was chosen
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
     * Creates the answer to a call whose outcome is unknown.
     *
     * @param detail human-readable explanation
     * @param host name of the host that may have run the call
     * @param suspicions requests that may have crashed the endpoint
     * @return the answer, with no unspent retries
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
     * Creates the answer to a call whose idempotency key was claimed by an earlier attempt.
     *
     * @param outcomeOfFirst outcome of the first attempt with the key
     * @param detail human-readable explanation
     * @param host name of the host that owns the key
     * @return the answer
     */
    public static CallAnswer duplicate(Outcome outcomeOfFirst, String detail, String host) {
        return new CallAnswer(
                Outcome.DUPLICATE,
                null,
                0,
                CallBody.EMPTY,
                0,
                LoadReport.NONE,
                outcomeOfFirst,
                host,
                detail,
                List.of(),
                List.of());
    }

    /**
     * Returns a copy of this answer with another number of unspent retries.
     *
     * @param retries retries that the sender has left
     * @return the copy
     */
    public CallAnswer withUnspentRetries(int retries) {
        return new CallAnswer(
                outcome, reason, status, body, retries, report, firstOutcome, host, detail, suspicions, headers);
    }

    /**
     * Returns a copy of this answer with another body.
     *
     * @param newBody the body
     * @return the copy
     */
    public CallAnswer withBody(CallBody newBody) {
        return new CallAnswer(
                outcome,
                reason,
                status,
                newBody,
                unspentRetries,
                report,
                firstOutcome,
                host,
                detail,
                suspicions,
                headers);
    }

    /**
     * Returns a copy of this answer with another load report.
     *
     * @param newReport the load report
     * @return the copy
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
