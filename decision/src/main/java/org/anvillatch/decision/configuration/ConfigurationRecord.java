package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * A record of the configuration stream. Immutable and thread safe.
 *
 * @param change identity of the change, the same if its append is repeated
 * @param basedOn version of the configuration on which the author based the change
 * @param author operator who made the change, or name of the host that wrote the snapshot
 * @param writtenMillis wall clock time of the host that wrote the record, in milliseconds, only for display
 * @param changes the statements
 * @param snapshot snapshot that is repeated so that retention cannot drop the configuration; null in the record of a
 *     change
 * @param history history of the log for which the record was written; the log refuses it in any other
 */
public record ConfigurationRecord(
        String change,
        long basedOn,
        String author,
        long writtenMillis,
        List<ConfigurationChange> changes,
        ConfigurationSnapshot snapshot,
        long history) {}
