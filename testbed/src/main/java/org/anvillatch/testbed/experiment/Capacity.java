package org.anvillatch.testbed.experiment;

import java.util.LinkedHashMap;
import java.util.Map;

import org.anvillatch.testbed.site.OperationSpec;
import org.anvillatch.testbed.site.ServiceSpec;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * Computes the capacity of a site from its slots, service times and mix of requests. Stateless and thread safe.
 */
final class Capacity {
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The service that limits the throughput of a site.
     *
     * @param service its name
     * @param rootsPerSecond maximum rate of root requests in the site's mix
     * @param slots maximum number of executions that it can run at a time
     */
    record Bottleneck(String service, double rootsPerSecond, int slots) {}

    private Capacity() {}

    static Bottleneck of(SiteSpec spec) {
        Map<String, Double> slotMillisPerRoot = new LinkedHashMap<>();
        for (SiteSpec.RequestKind kind : spec.kinds()) {
            addSlotTime(spec, kind.operation(), kind.arrivalRatio(), slotMillisPerRoot);
        }
        Bottleneck lowest = null;
        for (Map.Entry<String, Double> entry : slotMillisPerRoot.entrySet()) {
            ServiceSpec service = spec.service(entry.getKey());
            int slots = service.endpointCount() * service.slots();
            double roots = slots * MILLIS_PER_SECOND / entry.getValue();
            if (lowest == null || roots < lowest.rootsPerSecond()) {
                lowest = new Bottleneck(service.name(), roots, slots);
            }
        }
        return lowest;
    }

    private static void addSlotTime(SiteSpec spec, String path, double ratio, Map<String, Double> slotMillis) {
        String service = path.substring(0, path.indexOf('/'));
        slotMillis.merge(service, ratio * slotHoldMillis(spec, path), Double::sum);
        for (String nested : spec.operation(path).nestedCalls()) {
            addSlotTime(spec, nested, ratio, slotMillis);
        }
    }

    /** Returns how long an execution holds its slot: its service time and its slowest nested call. */
    private static double slotHoldMillis(SiteSpec spec, String path) {
        OperationSpec operation = spec.operation(path);
        double slowest = 0;
        for (String nested : operation.nestedCalls()) {
            slowest = Math.max(slowest, slotHoldMillis(spec, nested));
        }
        return operation.serviceTimeMillis() + slowest;
    }
}
