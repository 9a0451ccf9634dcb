package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * A configuration and how much of the stream it covers. Immutable and thread safe.
 *
 * @param configuration the configuration
 * @param coveredOffset offset of the last record that was applied, -1 if none was
 * @param history latest verdicts, oldest first
 */
public record ConfigurationSnapshot(Configuration configuration, long coveredOffset, List<ChangeVerdict> history) {}
