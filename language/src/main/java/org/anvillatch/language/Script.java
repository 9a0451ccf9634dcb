package org.anvillatch.language;

import java.util.List;

import org.anvillatch.decision.configuration.ConfigurationChange;

/**
 * Statements that were given together. Immutable and thread safe.
 *
 * <p>Invariant: it holds either changes, which take effect as one, or questions.
 *
 * @param ifVersion version the changes are based on, -1 if the operator named none
 * @param changes changes in order
 * @param questions questions in order
 */
public record Script(long ifVersion, List<ConfigurationChange> changes, List<Question> questions) {
    /** The operator named no version. */
    public static final long NO_CONDITION = -1;
}
