package org.anvillatch.testbed.experiment;

/**
 * What one variant achieved in one experiment. Immutable and thread safe.
 *
 * @param variant the variant
 * @param capacity root requests a second that the bottleneck can serve
 * @param offered root requests a second during the trigger
 * @param goodputWhole during the trigger, the part of the bottleneck's slot time, or of the offered load if that is less,
 *     that went into requests which ended whole
 * @param goodputImportant during the trigger, the part of important requests that ended whole
 * @param importantRefused during the trigger, important requests that did not end whole
 * @param wastedWork part of all execution time that went into requests which did not end whole
 * @param retriesPerRoot starts of a call beyond its first, for each root request
 * @param recoverySeconds time after the trigger until 95% of the level before is kept for a second; -1 if never
 * @param p50Millis median duration of first attempts of whole requests before the trigger
 * @param p99Millis 99th percentile of the same
 * @param refusalP50Millis median duration of first attempts that were refused
 * @param violations promises that the history checker found broken
 */
record Measurement(
        String variant,
        double capacity,
        double offered,
        double goodputWhole,
        double goodputImportant,
        int importantRefused,
        double wastedWork,
        double retriesPerRoot,
        double recoverySeconds,
        double p50Millis,
        double p99Millis,
        double refusalP50Millis,
        int violations) {}
