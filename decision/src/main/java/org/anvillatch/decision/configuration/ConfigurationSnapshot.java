package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * A configuration and how much of the stream it covers. Immutable and thread safe.
 *
 * @param configuration the configuration
 * @param coveredPosition {@link org.anvillatch.decision.model.LogPosition} of the last record that was applied, -1 if
 *     none was
 * @param history latest verdicts, oldest first
 * @param openHistory latest history of the log in which changes are accepted
 */
public record ConfigurationSnapshot(
        Configuration configuration, long coveredPosition, List<ChangeVerdict> history, long openHistory) {}
