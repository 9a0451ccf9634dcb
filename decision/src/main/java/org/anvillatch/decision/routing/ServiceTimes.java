package org.anvillatch.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.model.OperationName;

/**
 * Service times by which the endpoints of one choice are compared. If an endpoint has reported its service time for the
 * operation, only reported times are compared, and an endpoint that has reported none counts as fast as the fastest of
 * them, so that it is used and reports one. Otherwise the means over all operations that hosts advertise are compared.
 *
 * <p>Invariant: reported and advertised times are never compared with each other. Immutable and thread safe.
 */
final class ServiceTimes {
    private final Map<String, Long> reported;
    private final long minReportedMicros;

    private ServiceTimes(Map<String, Long> reported) {
        this.reported = reported;
        this.minReportedMicros =
                reported.values().stream().mapToLong(Long::longValue).min().orElse(0);
    }

    static ServiceTimes of(
            List<Member> endpoints, OperationName operation, Function<Member, EndpointLoad> loads, long nowMicros) {
        Map<String, Long> reported = new HashMap<>();
        for (Member member : endpoints) {
            long micros = loads.apply(member).serviceMicros(operation, nowMicros);
            if (micros > 0) {
                reported.put(member.host().name(), micros);
            }
        }
        return new ServiceTimes(reported);
    }

    /** Returns whether reported times are compared. */
    boolean areReported() {
        return !reported.isEmpty();
    }

    /** Returns the service time of an endpoint in microseconds, 0 if it is not known. */
    long micros(Member member) {
        return areReported()
                ? reported.getOrDefault(member.host().name(), minReportedMicros)
                : member.serviceTimeMicros();
    }
}
