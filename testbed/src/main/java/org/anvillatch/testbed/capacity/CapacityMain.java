package org.anvillatch.testbed.capacity;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.decision.admission.AdmissionFeatures;
import org.anvillatch.decision.admission.ExecutionResult;
import org.anvillatch.decision.admission.Gatekeeper;
import org.anvillatch.decision.admission.NestedCallStats;
import org.anvillatch.decision.admission.Work;
import org.anvillatch.decision.configuration.Configuration;
import org.anvillatch.decision.configuration.ConfigurationChange;
import org.anvillatch.decision.configuration.ConfigurationRecord;
import org.anvillatch.decision.configuration.ConfigurationReducer;
import org.anvillatch.decision.configuration.OperationPolicy;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.idempotency.IdempotencyLedger;
import org.anvillatch.decision.membership.Member;
import org.anvillatch.decision.membership.MemberStatus;
import org.anvillatch.decision.membership.Membership;
import org.anvillatch.decision.membership.MembershipAction;
import org.anvillatch.decision.membership.MembershipDigest;
import org.anvillatch.decision.model.HostIdentity;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.routing.EndpointSelector;
import org.anvillatch.decision.routing.LoadFeedback;
import org.anvillatch.decision.routing.RouteChoice;
import org.anvillatch.node.peer.ControlMessages;
import org.anvillatch.node.peer.Frame;
import org.anvillatch.node.peer.FrameCodec;
import org.anvillatch.node.peer.FrameException;
import org.anvillatch.node.peer.PeerMessage;

/**
 * Measures memory, message sizes and CPU time of one node for several numbers of members and sizes of the
 * configuration. Stateless.
 */
public final class CapacityMain {
    private static final int[] MEMBER_COUNTS = {500, 2_000, 8_000, 16_000};
    private static final int[] OPERATION_COUNTS = {100, 1_000, 4_800};
    private static final int SERVICE_COUNT = 1_200;
    private static final int DOMAIN_COUNT = 7;
    private static final int ITERATIONS = 20_000;
    private static final int HEAP_SAMPLES = 4;
    private static final long TICK_INTERVAL_MICROS = 500_000;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * One row of the printed table, also written as JSON.
     *
     * @param what what was measured
     * @param size number of members, operations or keys
     * @param bytesRetained heap that the state retains, in bytes
     * @param microsPerEvent mean time to process one event, in microseconds
     * @param bytesPerMessage encoded size of one message, in bytes; 0 if none is sent
     */
    private record Row(String what, int size, long bytesRetained, double microsPerEvent, int bytesPerMessage) {}

    private CapacityMain() {}

    /**
     * Runs all measurements and prints them as a table, then as one JSON object per row.
     *
     * @param arguments none
     * @return exit status, always 0
     * @throws Exception if a message cannot be encoded or the site of idle nodes cannot be started
     */
    public static int run(String[] arguments) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (int members : MEMBER_COUNTS) {
            rows.addAll(measureMembership(members));
        }
        for (int operations : OPERATION_COUNTS) {
            rows.add(measureConfiguration(operations));
        }
        rows.add(measureGatekeeper());
        rows.add(measureLedger());
        System.out.printf(
                "%-32s %8s %14s %14s %14s%n", "what", "size", "bytes retained", "us per event", "message bytes");
        for (Row row : rows) {
            System.out.printf(
                    "%-32s %8d %14d %14.3f %14d%n",
                    row.what(), row.size(), row.bytesRetained(), row.microsPerEvent(), row.bytesPerMessage());
        }
        for (Row row : rows) {
            System.out.println(MAPPER.writeValueAsString(row));
        }
        System.out.println("idle node processes:");
        System.out.println(
                MAPPER.writeValueAsString(IdleCost.measure(Files.createTempDirectory("anvillatch-capacity"))));
        return 0;
    }

    private static long usedHeapBytes() throws InterruptedException {
        long minimum = Long.MAX_VALUE;
        for (int sample = 0; sample < HEAP_SAMPLES; sample++) {
            System.gc();
            Thread.sleep(50);
            minimum = Math.min(
                    minimum,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return minimum;
    }

    private static Member member(int number) {
        return new Member(
                new HostIdentity("host-" + number, 1_796_361_221_870L + number),
                1,
                "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":7403",
                "domain-" + number % DOMAIN_COUNT,
                "service-" + number % SERVICE_COUNT,
                80,
                EndpointPhase.SERVING,
                MemberStatus.ALIVE,
                0);
    }

    private static int encodedBytes(PeerMessage message) throws FrameException {
        return FrameCodec.encode(new Frame(1, false, message)).remaining();
    }

    private static List<Row> measureMembership(int members) throws Exception {
        long heapBytesBefore = usedHeapBytes();
        Membership membership = new Membership(member(0), List.of());
        List<Member> all = new ArrayList<>();
        for (int number = 1; number < members; number++) {
            all.add(member(number));
        }
        membership.mergeUpdates(all, 0);
        // Drains the pending updates about every member, as in a cluster that has been running for a while.
        while (!membership.updatesToSend().isEmpty()) {
            Thread.onSpinWait();
        }
        all.clear();
        long retainedBytes = usedHeapBytes() - heapBytesBefore;
        List<Row> rows = new ArrayList<>();
        rows.add(new Row(
                "membership: tick and ping", members, retainedBytes, microsPerTick(membership), pingBytes(membership)));
        rows.add(measureDigest(membership, members));
        rows.add(measureBucket(membership, members));
        rows.add(measureSelector(membership, members));
        return rows;
    }

    private static double microsPerTick(Membership membership) {
        SplittableRandom random = new SplittableRandom(1);
        long now = 0;
        long startNanos = System.nanoTime();
        for (int iteration = 0; iteration < ITERATIONS; iteration++) {
            now += TICK_INTERVAL_MICROS;
            membership.tick(now, random).forEach(action -> {
                if (action instanceof MembershipAction.Ping ping) {
                    membership.answered(ping.target());
                }
            });
            membership.mergeUpdates(List.of(member(random.nextInt(100))), now);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / ITERATIONS;
    }

    private static int pingBytes(Membership membership) throws FrameException {
        List<Member> updates = List.of(member(1), member(2));
        return encodedBytes(new ControlMessages.Ping(membership.self(), updates, 39_000));
    }

    private static Row measureDigest(Membership membership, int members) throws FrameException {
        int buckets = MembershipDigest.buckets(members);
        int iterations = 200;
        int[] digest = new int[0];
        long startNanos = System.nanoTime();
        for (int iteration = 0; iteration < iterations; iteration++) {
            digest = MembershipDigest.of(membership.all(), buckets);
        }
        double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / iterations;
        PeerMessage request = new ControlMessages.Synchronize("10.0.0.1:7403", digest, List.of(), 39_000);
        return new Row("membership: comparison", members, 0, micros, encodedBytes(request));
    }

    private static Row measureBucket(Membership membership, int members) throws FrameException {
        int buckets = MembershipDigest.buckets(members);
        Set<Integer> firstBucket = Set.of(0);
        List<Member> differing = MembershipDigest.select(membership.all(), firstBucket, buckets);
        PeerMessage answer = new ControlMessages.SynchronizeAnswer(firstBucket, differing, List.of(), 39_000);
        return new Row("membership: one differing bucket", members, 0, 0, encodedBytes(answer));
    }

    private static Row measureSelector(Membership membership, int members) throws Exception {
        long heapBytesBefore = usedHeapBytes();
        EndpointSelector selector = new EndpointSelector(membership);
        SplittableRandom random = new SplittableRandom(2);
        double micros = 0;
        // The first half lets the JIT compiler warm up and is not counted.
        for (int half = 0; half < 2; half++) {
            long startNanos = System.nanoTime();
            for (int iteration = 0; iteration < ITERATIONS * 5; iteration++) {
                chooseAndAnswer(selector, random, iteration);
            }
            micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / (ITERATIONS * 5);
        }
        long retainedBytes = usedHeapBytes() - heapBytesBefore;
        // Keeps the selector reachable until the heap has been measured.
        if (selector.hashCode() == 0) {
            System.out.println("selector kept");
        }
        return new Row("routing: choose and answer", members, retainedBytes, micros, 0);
    }

    private static void chooseAndAnswer(EndpointSelector selector, SplittableRandom random, int iteration) {
        OperationName operation = new OperationName("service-" + iteration % 20, "read");
        EndpointSelector.Request request = new EndpointSelector.Request(operation, 200, Set.of(), Set.of());
        RouteChoice choice = selector.choose(request, iteration, random);
        if (choice.isChosen()) {
            selector.recordSent(choice.host());
            selector.recordAnswer(choice.host(), new LoadFeedback(operation, 0, 5, 1_000, null), iteration);
        }
    }

    private static Row measureConfiguration(int operations) throws Exception {
        long heapBytesBefore = usedHeapBytes();
        ConfigurationReducer reducer = new ConfigurationReducer();
        List<ConfigurationChange> changes = new ArrayList<>();
        for (int number = 0; number < operations; number++) {
            changes.add(new ConfigurationChange.Operation(
                    "service-" + number % SERVICE_COUNT,
                    "operation-" + number / SERVICE_COUNT,
                    new OperationPolicy("normal", true, 1_000)));
        }
        reducer.addRecord(
                0, new ConfigurationRecord("first", Configuration.NO_VERSION, "operator", 0, changes, null, 0));
        changes.clear();
        int iterations = 500;
        long startNanos = System.nanoTime();
        for (int iteration = 1; iteration <= iterations; iteration++) {
            reducer.addRecord(iteration, singleChange(iteration));
        }
        double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / iterations;
        long retainedBytes = usedHeapBytes() - heapBytesBefore;
        PeerMessage answer = new ControlMessages.ConfigurationAnswer(
                null, List.of(new ControlMessages.PositionedRecord(1, singleChange(1))), "host-1", "domain-1");
        if (reducer.nextOffset() != iterations + 1) {
            throw new IllegalStateException("not every record was applied");
        }
        return new Row("configuration: one change", operations, retainedBytes, micros, encodedBytes(answer));
    }

    private static ConfigurationRecord singleChange(int iteration) {
        ConfigurationChange change = new ConfigurationChange.Operation(
                "service-" + iteration, "operation-0", new OperationPolicy("normal", false, 2_000));
        return new ConfigurationRecord("change-" + iteration, iteration - 1, "operator", 0, List.of(change), null, 0);
    }

    private static Row measureGatekeeper() throws Exception {
        long heapBytesBefore = usedHeapBytes();
        Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
        gatekeeper.endpointAnnounced(80);
        OperationName operation = new OperationName("service", "read");
        SplittableRandom random = new SplittableRandom(3);
        double micros = 0;
        for (int half = 0; half < 2; half++) {
            long startNanos = System.nanoTime();
            for (int iteration = 0; iteration < ITERATIONS * 5; iteration++) {
                long now = iteration * 1_000L;
                gatekeeper.offer(new Work(iteration, operation, random.nextInt(Rank.LIMIT), now + 1_000_000), now);
                gatekeeper.recordEnd(iteration, ExecutionResult.ANSWERED, 500, operation, NestedCallStats.NONE, now);
            }
            micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / (ITERATIONS * 5);
        }
        long retainedBytes = usedHeapBytes() - heapBytesBefore;
        return new Row("gatekeeper: one call", gatekeeper.status().slots(), retainedBytes, micros, 0);
    }

    private static Row measureLedger() throws Exception {
        long heapBytesBefore = usedHeapBytes();
        IdempotencyLedger ledger = new IdempotencyLedger(new HostIdentity("host", 1), IdempotencyLedger.MAX_KEYS);
        long startNanos = System.nanoTime();
        for (int iteration = 0; iteration < ITERATIONS * 2; iteration++) {
            ledger.claim(ledger.issue().toString(), "fingerprint-" + iteration);
        }
        double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / (ITERATIONS * 2);
        long retainedBytes = usedHeapBytes() - heapBytesBefore;
        return new Row("effect: one key", ledger.size(), retainedBytes, micros, 0);
    }
}
