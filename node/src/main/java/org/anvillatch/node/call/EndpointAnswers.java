package org.anvillatch.node.call;

import java.util.List;

import org.anvillatch.decision.admission.ExecutionResult;
import org.anvillatch.decision.model.Outcome;
import org.anvillatch.decision.model.RefusalReason;
import org.anvillatch.decision.quarantine.CrashSuspects;
import org.anvillatch.node.endpoint.EndpointTransport;

/** Translates what an endpoint answered into results for the gatekeeper and answers for senders. Stateless and thread safe. */
final class EndpointAnswers {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * HTTP status by which the endpoint reports that the deadline has passed, which does not count as its own fault.
     */
    private static final int DEADLINE_STATUS = 504;

    private EndpointAnswers() {}

    /** Returns the result of an execution for the gatekeeper. */
    static ExecutionResult executionResult(EndpointTransport.EndpointAnswer answer, boolean nestedFailed) {
        return switch (answer.result()) {
            case ANSWERED -> isEndpointFault(answer, nestedFailed) ? ExecutionResult.FAILED : ExecutionResult.ANSWERED;
            case REJECTED -> ExecutionResult.REJECTED;
            case TIMED_OUT -> ExecutionResult.TIMED_OUT;
            case ABORTED -> ExecutionResult.CANCELLED;
            case BROKEN, MISMATCHED, NOT_CONNECTED, REPLACED -> ExecutionResult.BROKEN;
        };
    }

    /**
     * Returns whether the endpoint itself failed the call: it answered with an error although no nested call failed.
     */
    static boolean isEndpointFault(EndpointTransport.EndpointAnswer answer, boolean nestedFailed) {
        return answer.result() == EndpointTransport.ExchangeResult.ANSWERED
                && answer.status() >= FIRST_SERVER_ERROR_STATUS
                && answer.status() != DEADLINE_STATUS
                && !nestedFailed;
    }

    /**
     * Creates the answer for the sender.
     *
     * @param answer what the endpoint answered
     * @param host name of this host
     * @param report load of the gatekeeper
     * @param unspentRetries retries that the execution has not used
     * @param hasNestedCalls whether the execution made calls, which a retry would repeat at every downstream service
     * @param suspicions suspicions against the request
     */
    static CallAnswer toCallAnswer(
            EndpointTransport.EndpointAnswer answer,
            String host,
            CallAnswer.LoadReport report,
            int unspentRetries,
            boolean hasNestedCalls,
            List<CrashSuspects.Suspicion> suspicions) {
        return switch (answer.result()) {
            case ANSWERED -> {
                Outcome outcome = answer.status() >= FIRST_SERVER_ERROR_STATUS ? Outcome.FAILED : Outcome.COMPLETE;
                yield new CallAnswer(
                        outcome,
                        null,
                        answer.status(),
                        answer.body(),
                        unspentRetries,
                        report,
                        null,
                        host,
                        "",
                        List.of(),
                        answer.headers());
            }
            case REJECTED ->
                CallAnswer.refused(
                        RefusalReason.ENDPOINT_REJECTED,
                        "the endpoint did not run the request",
                        report,
                        unspentRetries,
                        host);
            case REPLACED ->
                CallAnswer.refused(
                        RefusalReason.ENDPOINT_REJECTED,
                        "another endpoint uses the address announced on host " + host,
                        report,
                        unspentRetries,
                        host);
            case NOT_CONNECTED ->
                CallAnswer.refused(
                        RefusalReason.NO_ENDPOINT,
                        "the endpoint of host " + host + " is not reachable",
                        report,
                        unspentRetries,
                        host);
            case TIMED_OUT, ABORTED, BROKEN, MISMATCHED ->
                CallAnswer.unknown(
                                "the endpoint of host " + host + " gave no complete answer: " + answer.detail(),
                                host,
                                suspicions)
                        .withReport(report)
                        .withUnspentRetries(hasNestedCalls ? 0 : unspentRetries);
        };
    }
}
