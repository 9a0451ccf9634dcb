package org.anvillatch.testbed.experiment;

/**
 * Results of one variant in one experiment. A request ends whole if its last answer is complete and intact. Immutable
 * and thread safe.
 *
 * @param variant name of the variant
 * @param capacity root requests per second that the bottleneck can serve
 * @param offered root requests per second during the trigger
 * @param goodputWhole slot time of the bottleneck spent during the trigger on requests that ended whole, as a fraction
 *     of the available slot time, or of the slot time for the offered load if that is less
 * @param goodputImportant fraction of the important requests during the trigger that ended whole
 * @param importantRefused number of important requests during the trigger that did not end whole
 * @param wastedWork fraction of all execution time that was spent on requests that did not end whole
 * @param retriesPerRoot mean number of retries for each root request: starts of the same call beyond its first
 * @param recoverySeconds time after the trigger until the fraction of whole requests in one second is back at 95% of
 *     its value before the trigger; -1 if never
 * @param p50Millis median duration before the trigger of requests that ended whole at their first attempt
 * @param p99Millis 99th percentile of the same durations
 * @param refusalP50Millis median duration of the first attempts of requests that ended "not run"
 * @param violations number of violated guarantees that the history checker found
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
