package org.anvillatch.decision.admission;

import org.anvillatch.decision.model.RefusalReason;

/**
 * What the host must do after a decision of the {@link Gatekeeper}. Immutable and thread safe.
 */
public sealed interface AdmissionAction {
    /**
     * Identity of the dispatch that the action concerns.
     *
     * @return the execution given in {@link Work}
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
     * @param reason why
     * @param level shed level in force for the operation
     */
    record Refuse(long execution, RefusalReason reason, int level) implements AdmissionAction {}
}
