package org.anvillatch.decision.configuration;

import java.util.List;

/**
 * A configuration with the part of the stream that it stands for. Immutable and thread safe.
 *
 * @param configuration the configuration in force
 * @param coveredOffset offset of the last record that was reduced, -1 if none was
 * @param history latest verdicts, oldest first
 */
public record ConfigurationSnapshot(Configuration configuration, long coveredOffset, List<ChangeVerdict> history) {}
