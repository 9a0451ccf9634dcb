package org.anvillatch.decision.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.anvillatch.decision.drain.EndpointPhase;
import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Checks the invariants of {@link Gatekeeper} under generated schedules of events. */
class GatekeeperProperties {
    private static final OperationName OPERATION = new OperationName("service", "operation");
    private static final int SLOTS = 6;

    private enum Step {
        OFFER,
        FINISH,
        CANCEL,
        TICK,
        LEAVE,
        RETURN
    }

    private record Event(Step step, int rank, int index, int pauseMicros) {}

    @Provide
    Arbitrary<List<Event>> schedules() {
        Arbitrary<Step> steps = Arbitraries.frequency(
                net.jqwik.api.Tuple.of(10, Step.OFFER),
                net.jqwik.api.Tuple.of(6, Step.FINISH),
                net.jqwik.api.Tuple.of(2, Step.CANCEL),
                net.jqwik.api.Tuple.of(2, Step.TICK),
                net.jqwik.api.Tuple.of(1, Step.LEAVE),
                net.jqwik.api.Tuple.of(1, Step.RETURN));
        return Combinators.combine(
                        steps,
                        Arbitraries.integers().between(0, Rank.LIMIT - 1),
                        Arbitraries.integers().between(0, 100),
                        Arbitraries.integers().between(0, 60_000))
                .as(Event::new)
                .list()
                .ofMaxSize(120);
    }

    @Property(tries = 300, seed = "42")
    void everyRequestEndsOnceAndSlotsAreNeverExceeded(@ForAll("schedules") List<Event> schedule) {
        Gatekeeper gatekeeper = new Gatekeeper(AdmissionFeatures.ALL);
        gatekeeper.endpointAnnounced(SLOTS);
        Run run = new Run(gatekeeper);
        schedule.forEach(run::apply);
        run.check(gatekeeper.changePhase(EndpointPhase.LEAVING, run.now));
        assertThat(run.waiting()).isEmpty();
    }

    private static final class Run {
        private final Gatekeeper gatekeeper;
        private final Map<Long, Integer> offered = new HashMap<>();
        private final Set<Long> running = new HashSet<>();
        private final Set<Long> ended = new HashSet<>();
        private long now;
        private long nextExecution = 1;

        private Run(Gatekeeper gatekeeper) {
            this.gatekeeper = gatekeeper;
        }

        private Set<Long> waiting() {
            Set<Long> waiting = new HashSet<>(offered.keySet());
            waiting.removeAll(running);
            waiting.removeAll(ended);
            return waiting;
        }

        private void apply(Event event) {
            now += event.pauseMicros();
            switch (event.step()) {
                case OFFER -> {
                    long execution = nextExecution++;
                    offered.put(execution, event.rank());
                    check(gatekeeper.offer(new Work(execution, OPERATION, event.rank(), now + 500_000), now));
                }
                case FINISH ->
                    running.stream()
                            .skip(event.index() % Math.max(1, running.size()))
                            .findFirst()
                            .ifPresent(execution -> {
                                running.remove(execution);
                                ended.add(execution);
                                check(gatekeeper.recordEnd(
                                        execution,
                                        ExecutionResult.ANSWERED,
                                        1_000,
                                        OPERATION,
                                        NestedCallStats.NONE,
                                        now));
                            });
                case CANCEL -> check(gatekeeper.cancel(Math.max(1, nextExecution - event.index() % 5), now));
                case TICK -> check(gatekeeper.tick(now));
                case LEAVE -> check(gatekeeper.changePhase(EndpointPhase.LEAVING, now));
                default -> check(gatekeeper.changePhase(EndpointPhase.SERVING, now));
            }
        }

        private void check(List<AdmissionAction> actions) {
            for (AdmissionAction action : actions) {
                long execution = action.execution();
                assertThat(offered).containsKey(execution);
                assertThat(ended).doesNotContain(execution);
                if (action instanceof AdmissionAction.Start) {
                    assertThat(gatekeeper.phase().takesNewWork()).isTrue();
                    assertThat(running.add(execution)).isTrue();
                } else {
                    assertThat(running).doesNotContain(execution);
                    ended.add(execution);
                }
            }
            assertThat(running.size()).isAtMost(SLOTS);
        }
    }
}
