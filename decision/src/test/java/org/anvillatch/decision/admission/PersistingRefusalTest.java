package org.anvillatch.decision.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: the nested calls of all requests wait for slots for 2 s, as after the loss of an endpoint, and callers
 * repeat refused requests immediately. Guards against refusals that persist when calls no longer wait.
 */
class PersistingRefusalTest {
    private static final OperationName IMPORTANT = new OperationName("catalogue", "page");
    private static final OperationName UNIMPORTANT = new OperationName("catalogue", "list");
    private static final int SLOTS = 64;
    private static final double PER_SECOND = 40;
    private static final long WORK_MICROS = 500_000;
    private static final long PATIENCE_MICROS = 2_000_000;
    private static final long PAUSE_MICROS = 50_000;
    private static final long WAITING_BEGINS = 5_000_000;
    private static final long WAITING_ENDS = 7_000_000;
    private static final long STOP = 20_000_000;

    /** Time for which refusals may persist, in seconds: twice the patience of the callers who repeat their requests. */
    private static final int PERSISTENCE_SECONDS = 4;

    private static final double MAX_REFUSED_RATIO = 0.15;

    private final Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<OperationName, DecayingLevel> levels = new HashMap<>();
    private final int[] refusedInSecond = new int[(int) (STOP / 1_000_000) + 1];
    private SplittableRandom random;
    private long now;
    private long nextNumber = 1;

    private record Event(long atMicros, Runnable action) {}

    private record Request(OperationName operation, int rank, long deadlineMicros) {}

    private void at(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, action));
    }

    private void arrive() {
        at((long) (-Math.log(1 - random.nextDouble()) * 1e6 / PER_SECOND), this::arrive);
        boolean important = random.nextInt(2) == 0;
        offer(new Request(
                important ? IMPORTANT : UNIMPORTANT,
                Rank.of(important ? 2 : 1, "root" + nextNumber),
                now + PATIENCE_MICROS));
    }

    private void offer(Request request) {
        if (levels.getOrDefault(request.operation(), DecayingLevel.NONE).at(now) > request.rank()) {
            refuse(request);
            return;
        }
        long number = nextNumber++;
        requests.put(number, request);
        apply(gatekeeper.offer(new Work(number, request.operation(), request.rank(), request.deadlineMicros()), now));
    }

    private void apply(List<AdmissionAction> actions) {
        for (AdmissionAction action : actions) {
            if (action instanceof AdmissionAction.Start) {
                start(action.execution());
                continue;
            }
            Request refused = requests.remove(action.execution());
            reportLevel(refused);
            refuse(refused);
        }
    }

    /** The caller repeats the request immediately, with a new identity and thus another hash in its rank. */
    private void refuse(Request request) {
        refusedInSecond[(int) (now / 1_000_000)]++;
        if (now + PAUSE_MICROS + WORK_MICROS < request.deadlineMicros()) {
            int rank = Rank.of(Rank.importance(request.rank()), "again" + nextNumber++);
            at(PAUSE_MICROS, () -> offer(new Request(request.operation(), rank, request.deadlineMicros())));
        }
    }

    private void reportLevel(Request request) {
        levels.put(request.operation(), new DecayingLevel(gatekeeper.shedLevelFor(request.operation(), now), now));
    }

    private void start(long number) {
        boolean waits = now >= WAITING_BEGINS && now < WAITING_ENDS;
        long waitMicros = waits ? WORK_MICROS : 0;
        long duration = (long) (WORK_MICROS * (0.5 + random.nextDouble())) + waitMicros;
        at(duration, () -> {
            Request request = requests.remove(number);
            reportLevel(request);
            apply(gatekeeper.recordEnd(
                    number,
                    ExecutionResult.ANSWERED,
                    duration,
                    request.operation(),
                    new NestedCallStats(waitMicros, false),
                    now));
        });
    }

    private void tick() {
        apply(gatekeeper.tick(now));
        at(10_000, this::tick);
    }

    private void run() {
        gatekeeper.setImportances(List.of(1, 2));
        gatekeeper.endpointAnnounced(SLOTS);
        at(0, this::arrive);
        at(0, this::tick);
        while (now < STOP) {
            Event event = events.remove();
            now = event.atMicros();
            event.action().run();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void fewRequestsAreRefusedLongAfterTheCause(long seed) {
        random = new SplittableRandom(seed);
        run();
        int fromSecond = (int) (WAITING_ENDS / 1_000_000) + PERSISTENCE_SECONDS;
        int refusals = 0;
        for (int second = fromSecond; second < refusedInSecond.length; second++) {
            refusals += refusedInSecond[second];
        }
        double offered = PER_SECOND * (STOP / 1e6 - fromSecond);
        assertThat(refusals / offered).isLessThan(MAX_REFUSED_RATIO);
    }
}
