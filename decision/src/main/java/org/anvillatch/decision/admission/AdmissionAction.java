package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.RefusalReason;

/**
 * An action that the host must perform after a decision of the {@link Gatekeeper}. Immutable and thread safe.
 */
public sealed interface AdmissionAction {
    /**
     * Returns the identity of the dispatch to which the action applies.
     *
     * @return the execution identity given in {@link Work}
     */
    long execution();

    /**
     * Send the request to the endpoint now.
     *
     * @param execution identity of the dispatch
     */
    record Start(long execution) implements AdmissionAction {}

    /**
     * Answer that the request was not run.
     *
     * @param execution identity of the dispatch
     * @param reason why the request was refused
     * @param level shed level to report with the answer: that of the operation, or that of the endpoint alone if the
     *     request was cancelled
     */
    record Refuse(long execution, RefusalReason reason, int level) implements AdmissionAction {}
}
