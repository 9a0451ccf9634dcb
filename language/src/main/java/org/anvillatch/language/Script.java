package org.anvillatch.language;

import java.util.List;

import org.anvillatch.decision.configuration.ConfigurationChange;

/**
 * A sequence of statements that an operator sends together. Immutable and thread safe.
 *
 * <p>Invariant: a script holds either changes, which take effect together, or questions, but not both.
 *
 * @param ifVersion version on which the changes are based, {@link #ANY_VERSION} if the operator gave none
 * @param changes the changes in order
 * @param questions the questions in order
 */
public record Script(long ifVersion, List<ConfigurationChange> changes, List<Question> questions) {
    /** Value of {@code ifVersion} if the operator gave no version. */
    public static final long ANY_VERSION = -1;
}
