package org.anvillatch.testbed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.anvillatch.testbed.site.SiteRun;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * What control costs in real node processes that serve no calls. Stateless.
 */
final class IdleCost {
    private static final long MEASURED_MILLIS = 15_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int STATUS_KILOBYTES_FIELD = 1;

    /**
     * Mean over the nodes of a site.
     *
     * @param nodes number of nodes
     * @param corePercent processor time of one node, in percent of a core
     * @param residentKilobytes resident memory of one node
     * @param sentBytesPerSecond bytes that one node sends to other nodes
     */
    record Cost(int nodes, double corePercent, long residentKilobytes, double sentBytesPerSecond) {}

    private IdleCost() {}

    static Cost measure(Path directory) throws Exception {
        try (SiteRun site = new SiteRun(SiteSpec.sicily(), SiteRun.Options.plain(directory))) {
            site.start();
            Thread.sleep(MEASURED_MILLIS);
            double processorBefore = processorMillis(site);
            double sentBefore = sent(site);
            long started = System.nanoTime();
            Thread.sleep(MEASURED_MILLIS);
            double elapsed = (System.nanoTime() - started) / NANOS_PER_MILLI;
            int nodes = site.hosts().size();
            return new Cost(
                    nodes,
                    (processorMillis(site) - processorBefore) / elapsed / nodes * 100,
                    resident(site) / nodes,
                    (sent(site) - sentBefore) / (elapsed / MILLIS_PER_SECOND) / nodes);
        }
    }

    private static double processorMillis(SiteRun site) {
        double total = 0;
        for (SiteRun.Host host : site.hosts()) {
            total += host.node().processorTime().toNanos() / NANOS_PER_MILLI;
        }
        return total;
    }

    private static double sent(SiteRun site) throws IOException, InterruptedException {
        double total = 0;
        for (SiteRun.Host host : site.hosts()) {
            total += site.operator().metric(host.node().operatorAddress(), "peer_bytes_sent");
        }
        return total;
    }

    private static long resident(SiteRun site) throws IOException {
        long total = 0;
        for (SiteRun.Host host : site.hosts()) {
            Path status = Path.of("/proc", Long.toString(host.node().processId()), "status");
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    total += Long.parseLong(line.split("\\s+")[STATUS_KILOBYTES_FIELD]);
                }
            }
        }
        return total;
    }
}
