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
import org.anvillatch.decision.team.ApiKeyHash;
import org.anvillatch.decision.team.Team;

/**
 * One version of the operators' configuration. Immutable and thread safe.
 *
 * @param version {@link org.anvillatch.decision.model.LogPosition} of the record that created this version,
 *     {@link #NO_VERSION} before the first one
 * @param importances names of the importances, least important first
 * @param operations policies by {@code service/operation}
 * @param retryBound maximum number of retries for one root request over its whole call tree
 * @param drainedHosts names of drained hosts
 * @param drainedDomains names of drained failure domains
 * @param quarantined fingerprints quarantined by operators
 * @param released fingerprints released by operators
 * @param teams declared teams by name; callers need an API key unless it is empty
 */
public record Configuration(
        long version,
        List<String> importances,
        SortedMap<String, OperationPolicy> operations,
        int retryBound,
        SortedSet<String> drainedHosts,
        SortedSet<String> drainedDomains,
        SortedSet<String> quarantined,
        SortedSet<String> released,
        SortedMap<String, TeamPolicy> teams) {
    /** Replaces what a snapshot of an earlier version does not name. */
    public Configuration {
        teams = teams == null ? new TreeMap<>() : teams;
    }

    /** Version of the configuration before the first record. */
    public static final long NO_VERSION = -1;

    /** Maximum value of the retry bound. */
    public static final int MAX_RETRY_BOUND = 100;

    /** The configuration before the first record. */
    public static final Configuration EMPTY = new Configuration(
            NO_VERSION,
            List.of("normal"),
            new TreeMap<>(),
            2,
            new TreeSet<>(),
            new TreeSet<>(),
            new TreeSet<>(),
            new TreeSet<>(),
            new TreeMap<>());

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
     * Returns the position of an operation's importance in the order of importances.
     *
     * @param policy policy of the operation
     * @return 0 for the least important
     */
    public int importance(OperationPolicy policy) {
        return Math.max(0, importances.indexOf(policy.importance()));
    }

    /**
     * Returns the declared teams as callers are compared with them.
     *
     * @return the teams, ordered by name
     */
    public List<Team> teamList() {
        List<Team> list = new ArrayList<>();
        teams.forEach((name, policy) -> list.add(new Team(
                name,
                policy.importance() == null ? Team.NO_IMPORTANCE : importances.indexOf(policy.importance()),
                policy.ratePerSecond(),
                policy.burst(),
                policy.keyHashes())));
        return list;
    }

    /**
     * Applies the changes of one record.
     *
     * @param newVersion position of the record
     * @param changes the changes in order
     * @param findings list to which errors in the changes are added
     * @return the new configuration, which must not be used if there are findings
     */
    public Configuration apply(long newVersion, List<ConfigurationChange> changes, List<Finding> findings) {
        Builder builder = new Builder(this);
        for (int index = 0; index < changes.size(); index++) {
            builder.apply(changes.get(index));
        }
        builder.check(changes, findings);
        return builder.build(newVersion);
    }

    private static final class Builder {
        private List<String> importances;
        private final SortedMap<String, OperationPolicy> operations;
        private int retryBound;
        private final SortedSet<String> drainedHosts;
        private final SortedSet<String> drainedDomains;
        private final SortedSet<String> quarantined;
        private final SortedSet<String> released;
        private final SortedMap<String, TeamPolicy> teams;

        Builder(Configuration from) {
            importances = from.importances;
            operations = new TreeMap<>(from.operations);
            retryBound = from.retryBound;
            drainedHosts = new TreeSet<>(from.drainedHosts);
            drainedDomains = new TreeSet<>(from.drainedDomains);
            quarantined = new TreeSet<>(from.quarantined);
            released = new TreeSet<>(from.released);
            teams = new TreeMap<>(from.teams);
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
                setPresent(drained, drain.name(), drain.drained());
            } else if (change instanceof ConfigurationChange.Team team) {
                teams.put(team.name(), team.policy());
            } else if (change instanceof ConfigurationChange.TeamRemoval removal) {
                teams.remove(removal.name());
            } else if (change instanceof ConfigurationChange.Quarantine quarantine) {
                setPresent(quarantined, quarantine.fingerprint(), quarantine.quarantined());
                setPresent(released, quarantine.fingerprint(), !quarantine.quarantined());
            }
        }

        private static void setPresent(Set<String> set, String name, boolean present) {
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
            checkTeams(findings);
        }

        private void checkTeams(List<Finding> findings) {
            Map<String, String> owners = new TreeMap<>();
            teams.forEach((name, policy) -> {
                String place = "team " + name;
                if (policy.importance() != null && !importances.contains(policy.importance())) {
                    findings.add(new Finding(
                            place, "importance \"" + policy.importance() + "\" is not in the order " + importances));
                }
                for (String hash : policy.keyHashes()) {
                    if (!ApiKeyHash.isHash(hash)) {
                        findings.add(new Finding(place, "\"" + hash + "\" is not a SHA-256 in lower-case digits"));
                        continue;
                    }
                    String owner = owners.putIfAbsent(ApiKeyHash.idOf(hash), name);
                    if (owner != null) {
                        findings.add(new Finding(place, "key " + hash + " is already declared for team " + owner));
                    }
                }
            });
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
                    version,
                    importances,
                    operations,
                    retryBound,
                    drainedHosts,
                    drainedDomains,
                    quarantined,
                    released,
                    teams);
        }
    }

    /**
     * Returns the same configuration with another version.
     *
     * @param newVersion position of the record that creates the version
     * @return the configuration
     */
    public Configuration withVersion(long newVersion) {
        return new Builder(this).build(newVersion);
    }

    /**
     * Returns the changes that turn an empty configuration into this one.
     *
     * @return the changes, in an order in which they can be applied
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
        quarantined.forEach(fingerprint -> changes.add(new ConfigurationChange.Quarantine(fingerprint, true)));
        released.forEach(fingerprint -> changes.add(new ConfigurationChange.Quarantine(fingerprint, false)));
        teams.forEach((name, policy) -> changes.add(new ConfigurationChange.Team(name, policy)));
        return changes;
    }
}
