package org.anvillatch.decision.team;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Index of the teams of one route table by key and by name. Immutable and thread safe.
 *
 * <p>Invariant: each key id belongs to at most one team; the decoders reject tables in which a key occurs twice.
 */
public final class TeamDirectory {
    /** Directory of a configuration without teams. */
    public static final TeamDirectory EMPTY = new TeamDirectory(List.of());

    private final Map<String, KeyEntry> byKeyId = new HashMap<>();
    private final Map<String, Team> byName = new HashMap<>();

    private record KeyEntry(String hash, Team team) {}

    /**
     * Creates the index.
     *
     * @param teams all teams of a route table
     */
    public TeamDirectory(List<Team> teams) {
        for (Team team : teams) {
            byName.put(team.name(), team);
            for (String hash : team.keyHashes()) {
                byKeyId.put(ApiKeyHash.idOf(hash), new KeyEntry(hash, team));
            }
        }
    }

    /**
     * Returns whether callers need no key.
     *
     * @return true if the configuration has no team
     */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /**
     * Finds the team to which a key belongs.
     *
     * @param hash hash of the key
     * @return the team, or empty if the key is unknown
     */
    public Optional<Team> findByKey(String hash) {
        KeyEntry entry = byKeyId.get(ApiKeyHash.idOf(hash));
        return entry != null && entry.hash().equals(hash) ? Optional.of(entry.team()) : Optional.empty();
    }

    /**
     * Finds a team by its name.
     *
     * @param name name of the team
     * @return the team, or empty if the configuration has none of that name
     */
    public Optional<Team> findByName(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns all teams.
     *
     * @return the teams in no particular order
     */
    public Collection<Team> all() {
        return Collections.unmodifiableCollection(byName.values());
    }

    /** Returns the name of the team to which a key belongs, or null if the key is unknown. */
    String ownerOf(String keyId) {
        KeyEntry entry = byKeyId.get(keyId);
        return entry == null ? null : entry.team().name();
    }

    /** Calls the consumer with the id of each key and the name of its team. */
    void forEachKey(BiConsumer<String, String> consumer) {
        byKeyId.forEach((id, entry) -> consumer.accept(id, entry.team().name()));
    }
}
