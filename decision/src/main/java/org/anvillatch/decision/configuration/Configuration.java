package org.anvillatch.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;

/**
 * Intent in force. Immutable and thread safe.
 *
 * @param version offset of the record that made it, {@link #NO_VERSION} before the first one
 * @param importances names, least important first
 * @param operations policies by {@code service/operation}
 * @param retryBound retries allowed for one root request over the whole chain
 * @param drainedHosts names of drained hosts
 * @param drainedDomains names of drained failure domains
 * @param quarantined fingerprints quarantined by operators
 * @param released fingerprints released by operators
 */
public record Configuration(
        long version,
        List<String> importances,
        SortedMap<String, OperationPolicy> operations,
        int retryBound,
        SortedSet<String> drainedHosts,
        SortedSet<String> drainedDomains,
        SortedSet<String> quarantined,
        SortedSet<String> released) {
    /** Version of a configuration that no record has made. */
    public static final long NO_VERSION = -1;

    /** Largest retry bound that may be declared. */
    public static final int MAX_RETRY_BOUND = 100;

    /** Nothing declared. */
    public static final Configuration EMPTY = new Configuration(
            NO_VERSION,
            List.of("normal"),
            new TreeMap<>(),
            2,
            new TreeSet<>(),
            new TreeSet<>(),
            new TreeSet<>(),
            new TreeSet<>());

    /**
     * Returns the policy of an operation.
     *
     * @param name the operation
     * @return the policy, or null if the operation is not declared
     */
    public OperationPolicy policy(OperationName name) {
        return operations.get(name.toString());
    }

    /**
     * Returns the position of an operation's importance.
     *
     * @param policy policy of the operation
     * @return 0 for the least important
     */
    public int importance(OperationPolicy policy) {
        return Math.max(0, importances.indexOf(policy.importance()));
    }

    /**
     * Applies changes as one.
     *
     * @param newVersion offset of the record
     * @param changes the changes in order
     * @param findings receives everything that is wrong with them
     * @return the new configuration; meaningless if there are findings
     */
    public Configuration apply(long newVersion, List<ConfigurationChange> changes, List<Finding> findings) {
        Draft draft = new Draft(this);
        for (int index = 0; index < changes.size(); index++) {
            draft.apply(changes.get(index));
        }
        draft.check(changes, findings);
        return draft.build(newVersion);
    }

    private static final class Draft {
        private List<String> importances;
        private final SortedMap<String, OperationPolicy> operations;
        private int retryBound;
        private final SortedSet<String> drainedHosts;
        private final SortedSet<String> drainedDomains;
        private final SortedSet<String> quarantined;
        private final SortedSet<String> released;

        Draft(Configuration from) {
            importances = from.importances;
            operations = new TreeMap<>(from.operations);
            retryBound = from.retryBound;
            drainedHosts = new TreeSet<>(from.drainedHosts);
            drainedDomains = new TreeSet<>(from.drainedDomains);
            quarantined = new TreeSet<>(from.quarantined);
            released = new TreeSet<>(from.released);
        }

        void apply(ConfigurationChange change) {
            if (change instanceof ConfigurationChange.ImportanceOrder order) {
                importances = List.copyOf(order.names());
            } else if (change instanceof ConfigurationChange.Operation operation) {
                operations.put(operation.service() + "/" + operation.operation(), operation.policy());
            } else if (change instanceof ConfigurationChange.RetryBound bound) {
                retryBound = bound.retries();
            } else if (change instanceof ConfigurationChange.Drain drain) {
                Set<String> drained =
                        drain.scope() == ConfigurationChange.DrainScope.HOST ? drainedHosts : drainedDomains;
                include(drained, drain.name(), drain.drained());
            } else if (change instanceof ConfigurationChange.Quarantine quarantine) {
                include(quarantined, quarantine.fingerprint(), quarantine.quarantined());
                include(released, quarantine.fingerprint(), !quarantine.quarantined());
            }
        }

        private static void include(Set<String> set, String name, boolean present) {
            if (present) {
                set.add(name);
            } else {
                set.remove(name);
            }
        }

        void check(List<ConfigurationChange> changes, List<Finding> findings) {
            if (importances.isEmpty() || importances.size() > Rank.IMPORTANCE_LEVELS) {
                findings.add(new Finding(
                        "importance order",
                        "must name 1 to " + Rank.IMPORTANCE_LEVELS + " importances but names " + importances.size()));
            }
            if (new TreeSet<>(importances).size() != importances.size()) {
                findings.add(new Finding("importance order", "names an importance twice"));
            }
            if (retryBound < 0 || retryBound > MAX_RETRY_BOUND) {
                findings.add(new Finding("retry bound", "must be 0 to " + MAX_RETRY_BOUND + " but is " + retryBound));
            }
            for (Map.Entry<String, OperationPolicy> entry : operations.entrySet()) {
                checkOperation(entry.getKey(), entry.getValue(), findings);
            }
        }

        private void checkOperation(String name, OperationPolicy policy, List<Finding> findings) {
            if (!importances.contains(policy.importance())) {
                findings.add(new Finding(
                        "operation " + name,
                        "importance \"" + policy.importance() + "\" is not in the order " + importances));
            }
            if (policy.deadlineMillis() < 1) {
                findings.add(new Finding("operation " + name, "deadline must be at least 1 ms"));
            }
        }

        Configuration build(long version) {
            return new Configuration(
                    version, importances, operations, retryBound, drainedHosts, drainedDomains, quarantined, released);
        }
    }

    /**
     * Returns the changes that lead from an empty configuration to this one.
     *
     * @return changes in an order that can be applied
     */
    public List<ConfigurationChange> asChanges() {
        List<ConfigurationChange> changes = new ArrayList<>();
        changes.add(new ConfigurationChange.ImportanceOrder(importances));
        changes.add(new ConfigurationChange.RetryBound(retryBound));
        operations.forEach((name, policy) -> {
            int slash = name.indexOf('/');
            changes.add(new ConfigurationChange.Operation(name.substring(0, slash), name.substring(slash + 1), policy));
        });
        drainedHosts.forEach(
                host -> changes.add(new ConfigurationChange.Drain(ConfigurationChange.DrainScope.HOST, host, true)));
        drainedDomains.forEach(domain ->
                changes.add(new ConfigurationChange.Drain(ConfigurationChange.DrainScope.DOMAIN, domain, true)));
        quarantined.forEach(print -> changes.add(new ConfigurationChange.Quarantine(print, true)));
        released.forEach(print -> changes.add(new ConfigurationChange.Quarantine(print, false)));
        return changes;
    }
}
