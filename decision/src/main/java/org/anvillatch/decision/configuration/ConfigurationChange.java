package org.anvillatch.decision.configuration;

import java.util.List;
import java.util.Locale;

/**
 * One change to the configuration, a statement of the operators' language. Immutable and thread safe.
 */
public sealed interface ConfigurationChange {
    /**
     * Returns the statement in the operators' language.
     *
     * @return text that parses to this change
     */
    String text();

    /**
     * Sets the order of importances.
     *
     * @param names names of the importances, least important first
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
     * @param policy policy of the operation
     */
    record Operation(String service, String operation, OperationPolicy policy) implements ConfigurationChange {
        @Override
        public String text() {
            String idempotence = policy.idempotent() ? "idempotent" : "not idempotent";
            return "operation " + service + "/" + operation + " importance " + policy.importance() + " " + idempotence
                    + " deadline " + policy.deadlineMillis() + " ms";
        }
    }

    /**
     * Limits the retries of one root request over its whole call tree.
     *
     * @param retries maximum number of retries, 0 or more
     */
    record RetryBound(int retries) implements ConfigurationChange {
        @Override
        public String text() {
            return "retry bound " + retries;
        }
    }

    /** What a drain applies to. */
    enum DrainScope {
        /** One host. */
        HOST,
        /** All hosts of a failure domain. */
        DOMAIN;

        /**
         * Returns the keyword of the operators' language.
         *
         * @return lower case name
         */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Stops or resumes new work on a host or in a failure domain.
     *
     * @param scope what is drained
     * @param name name of the host or failure domain
     * @param drained true to drain, false to return to service
     */
    record Drain(DrainScope scope, String name, boolean drained) implements ConfigurationChange {
        @Override
        public String text() {
            return (drained ? "drain " : "return ") + scope.keyword() + " " + name;
        }
    }

    /**
     * Declares a team; replaces an earlier declaration.
     *
     * @param name name of the team
     * @param policy what is declared
     */
    record Team(String name, TeamPolicy policy) implements ConfigurationChange {
        @Override
        public String text() {
            String importance = policy.importance() == null ? "" : " importance " + policy.importance();
            String rate =
                    policy.ratePerSecond() == 0 ? "" : " rate " + policy.ratePerSecond() + " burst " + policy.burst();
            String keys = policy.keyHashes().isEmpty() ? "" : " keys " + String.join(", ", policy.keyHashes());
            return "team " + name + importance + rate + keys;
        }
    }

    /**
     * Removes a team and its keys.
     *
     * @param name name of the team
     */
    record TeamRemoval(String name) implements ConfigurationChange {
        @Override
        public String text() {
            return "remove team " + name;
        }
    }

    /**
     * Quarantines or releases a request.
     *
     * @param fingerprint fingerprint of the request's operation and body
     * @param quarantined true to quarantine, false to release
     */
    record Quarantine(String fingerprint, boolean quarantined) implements ConfigurationChange {
        @Override
        public String text() {
            return (quarantined ? "quarantine " : "release ") + fingerprint;
        }
    }
}
