package org.anvillatch.testbed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.anvillatch.testbed.site.RunningSite;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * Measures CPU time, memory and traffic between hosts of real node processes that serve no calls. Stateless.
 */
final class IdleCost {
    private static final long MEASUREMENT_MILLIS = 15_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int STATUS_VALUE_FIELD = 1;

    /**
     * Mean cost over the nodes of a site; written as JSON.
     *
     * @param nodes number of nodes
     * @param corePercent CPU time of one node, in percent of a core
     * @param residentKilobytes resident memory of one node, in KiB
     * @param sentBytesPerSecond bytes that one node sends to other nodes per second
     */
    record Cost(int nodes, double corePercent, long residentKilobytes, double sentBytesPerSecond) {}

    private IdleCost() {}

    static Cost measure(Path directory) throws Exception {
        try (RunningSite site = new RunningSite(SiteSpec.sicily(), RunningSite.Options.withoutProxies(directory))) {
            site.start();
            Thread.sleep(MEASUREMENT_MILLIS);
            double cpuMillisBefore = cpuMillis(site);
            double sentBytesBefore = sentBytes(site);
            long startNanos = System.nanoTime();
            Thread.sleep(MEASUREMENT_MILLIS);
            double elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            int nodes = site.hosts().size();
            return new Cost(
                    nodes,
                    (cpuMillis(site) - cpuMillisBefore) / elapsedMillis / nodes * 100,
                    totalResidentKilobytes(site) / nodes,
                    (sentBytes(site) - sentBytesBefore) / (elapsedMillis / MILLIS_PER_SECOND) / nodes);
        }
    }

    private static double cpuMillis(RunningSite site) {
        double total = 0;
        for (RunningSite.Host host : site.hosts()) {
            total += host.node().cpuTime().toNanos() / NANOS_PER_MILLI;
        }
        return total;
    }

    private static double sentBytes(RunningSite site) throws IOException, InterruptedException {
        double total = 0;
        for (RunningSite.Host host : site.hosts()) {
            total += site.operatorClient().metric(host.node().operatorAddress(), "peer_bytes_sent");
        }
        return total;
    }

    private static long totalResidentKilobytes(RunningSite site) throws IOException {
        long total = 0;
        for (RunningSite.Host host : site.hosts()) {
            Path status = Path.of("/proc", Long.toString(host.node().processId()), "status");
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    total += Long.parseLong(line.split("\\s+")[STATUS_VALUE_FIELD]);
                }
            }
        }
        return total;
    }
}
