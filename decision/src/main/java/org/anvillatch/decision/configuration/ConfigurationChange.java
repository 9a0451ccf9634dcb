package org.anvillatch.decision.configuration;

import java.util.List;
import java.util.Locale;

/**
 * One statement of intent. Immutable and thread safe.
 */
public sealed interface ConfigurationChange {
    /**
     * Returns the statement in the operators' language.
     *
     * @return text that parses to this change
     */
    String text();

    /**
     * Names the importances, least important first.
     *
     * @param names importances in order
     */
    record ImportanceOrder(List<String> names) implements ConfigurationChange {
        @Override
        public String text() {
            return "importance order " + String.join(" < ", names);
        }
    }

    /**
     * Declares an operation.
     *
     * @param service name of the service
     * @param operation name of the operation
     * @param policy what is intended for it
     */
    record Operation(String service, String operation, OperationPolicy policy) implements ConfigurationChange {
        @Override
        public String text() {
            String repeat = policy.idempotent() ? "idempotent" : "not idempotent";
            return "operation " + service + "/" + operation + " importance " + policy.importance() + " " + repeat
                    + " deadline " + policy.deadlineMillis() + " ms";
        }
    }

    /**
     * Bounds the retries of one root request over the whole chain.
     *
     * @param retries retries allowed, 0 or more
     */
    record RetryBound(int retries) implements ConfigurationChange {
        @Override
        public String text() {
            return "retry bound " + retries;
        }
    }

    /** What a drain concerns. */
    enum DrainScope {
        /** One host. */
        HOST,
        /** All hosts of a failure domain. */
        DOMAIN;

        /**
         * Returns the word of the operators' language.
         *
         * @return lower case name
         */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Stops or resumes new work on a host or in a failure domain.
     *
     * @param scope what is drained
     * @param name name of the host or failure domain
     * @param drained true to drain, false to return
     */
    record Drain(DrainScope scope, String name, boolean drained) implements ConfigurationChange {
        @Override
        public String text() {
            return (drained ? "drain " : "return ") + scope.word() + " " + name;
        }
    }

    /**
     * Quarantines or releases a request.
     *
     * @param fingerprint operation and body of the request
     * @param quarantined true to quarantine, false to release
     */
    record Quarantine(String fingerprint, boolean quarantined) implements ConfigurationChange {
        @Override
        public String text() {
            return (quarantined ? "quarantine " : "release ") + fingerprint;
        }
    }
}
