package org.anvillatch.testbed.history;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.anvillatch.testbed.history.HistoryEvent.Kind;

/**
 * Checks the system's guarantees on a recorded history. Uses only what callers and endpoints observed, not the system's
 * own counters. Not thread safe; each instance is used once.
 */
public final class HistoryChecker {
    /**
     * Maximum time after an endpoint's deregistration in which new work may still reach it, in microseconds; the
     * guarantee is "within a few seconds".
     */
    public static final long MAX_WORK_AFTER_LEAVE_MICROS = 2_000_000;

    /** Time that the effect of overload at one endpoint may take to reach the other hosts, in microseconds. */
    public static final long ORDER_TOLERANCE_MICROS = 500_000;

    /** Maximum number of endpoints that one root request may crash, however often its caller retries. */
    public static final int MAX_CRASHES_PER_REQUEST = 2;

    private static final int MAX_TRACE_EVENTS = 12;

    /**
     * A violated guarantee.
     *
     * @param promise the guarantee
     * @param explanation what was observed instead
     * @param trace the events that show the violation, ordered by time
     */
    public record Violation(String promise, String explanation, List<HistoryEvent> trace) {}

    /**
     * Counts and violations found in a history.
     *
     * @param roots number of root requests
     * @param whole root requests with a complete and intact answer
     * @param refusedNotRun root requests whose last answer was "not run"
     * @param unknown root requests whose last answer was "unknown", or that have no answer
     * @param failed root requests whose last answer was "failed"
     * @param duplicates root requests whose last answer was "duplicate"
     * @param duplicateEffects executions of an effect beyond its first
     * @param foreignAnswers complete answers whose content was not the expected one
     * @param maxRetriesPerRoot maximum number of retries of one root request
     * @param violations violated guarantees
     */
    public record Verdict(
            int roots,
            int whole,
            int refusedNotRun,
            int unknown,
            int failed,
            int duplicates,
            int duplicateEffects,
            int foreignAnswers,
            int maxRetriesPerRoot,
            List<Violation> violations) {}

    private final List<HistoryEvent> events;
    private final int retryBound;
    private final List<Violation> violations = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param events the history, in any order
     * @param retryBound declared maximum number of retries for one root request
     */
    public HistoryChecker(Collection<HistoryEvent> events, int retryBound) {
        this.events = events.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atMicros))
                .toList();
        this.retryBound = retryBound;
    }

    /**
     * Checks every guarantee.
     *
     * @return counts and violations
     */
    public Verdict check() {
        int maxRetries = checkRetries();
        int duplicateEffects = checkAtMostOnce();
        int foreign = checkAnswerIntegrity();
        checkNotRun();
        checkWorkAfterLeave();
        checkRefusalOrder();
        checkPoison();
        return toVerdict(maxRetries, duplicateEffects, foreign);
    }

    private Map<String, List<HistoryEvent>> eventsByRoot(Kind... kinds) {
        Set<Kind> wanted = Set.of(kinds);
        Map<String, List<HistoryEvent>> byRoot = new LinkedHashMap<>();
        for (HistoryEvent event : events) {
            if (wanted.contains(event.kind())) {
                byRoot.computeIfAbsent(event.root(), root -> new ArrayList<>()).add(event);
            }
        }
        return byRoot;
    }

    /**
     * Checks the retry bound. Each start of a call beyond its first counts as a retry. Two starts belong to the same
     * call if they have the same parent execution and call number, or if both are of the root request.
     *
     * @return maximum number of retries of one root request
     */
    private int checkRetries() {
        int maxRetries = 0;
        for (Map.Entry<String, List<HistoryEvent>> entry :
                eventsByRoot(Kind.START).entrySet()) {
            Set<String> paths = new HashSet<>();
            int retries = 0;
            for (HistoryEvent start : entry.getValue()) {
                retries += paths.add(start.path()) ? 0 : 1;
            }
            maxRetries = Math.max(maxRetries, retries);
            if (retries > retryBound) {
                addViolation(
                        "retries within the bound",
                        "root " + entry.getKey() + " caused " + retries + " retries, the bound is " + retryBound,
                        entry.getValue());
            }
        }
        return maxRetries;
    }

    private int checkAtMostOnce() {
        Map<String, List<HistoryEvent>> byEffect = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START && event.effect() != null) {
                byEffect.computeIfAbsent(event.effect(), effect -> new ArrayList<>())
                        .add(event);
            }
        }
        int duplicates = 0;
        for (Map.Entry<String, List<HistoryEvent>> entry : byEffect.entrySet()) {
            int count = entry.getValue().size();
            if (count > 1) {
                duplicates += count - 1;
                addViolation(
                        "at most once",
                        "effect " + entry.getKey() + " took place " + count + " times",
                        entry.getValue());
            }
        }
        return duplicates;
    }

    private int checkAnswerIntegrity() {
        int foreign = 0;
        for (HistoryEvent event : events) {
            boolean complete = event.kind() == Kind.ANSWER && "complete".equals(event.outcome());
            if (complete && !event.intact()) {
                foreign++;
                addViolation(
                        "complete answer to its own caller",
                        "answer of " + event.path() + " is not its own",
                        List.of(event));
            }
        }
        return foreign;
    }

    private record Attempt(String path, int attempt) {}

    private void checkNotRun() {
        Map<Attempt, List<HistoryEvent>> starts = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START) {
                starts.computeIfAbsent(new Attempt(event.path(), event.attempt()), key -> new ArrayList<>())
                        .add(event);
            }
        }
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.ANSWER && "not-run".equals(event.outcome())) {
                List<HistoryEvent> runs = starts.get(new Attempt(event.path(), event.attempt()));
                if (runs != null) {
                    List<HistoryEvent> trace = new ArrayList<>(runs);
                    trace.add(event);
                    addViolation("not run is true", event.path() + " was answered \"not run\" but ran", trace);
                }
            }
        }
    }

    private void checkWorkAfterLeave() {
        Map<String, HistoryEvent> leaveEvents = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.LEAVE) {
                leaveEvents.put(event.place(), event);
            } else if (event.kind() == Kind.ANNOUNCE) {
                leaveEvents.remove(event.place());
            } else if (event.kind() == Kind.START && leaveEvents.containsKey(event.place())) {
                HistoryEvent leave = leaveEvents.get(event.place());
                if (event.atMicros() - leave.atMicros() > MAX_WORK_AFTER_LEAVE_MICROS) {
                    addViolation(
                            "no new work after leaving",
                            "endpoint " + event.place() + " got work " + (event.atMicros() - leave.atMicros()) / 1_000
                                    + " ms after its deregistration",
                            List.of(leave, event));
                }
            }
        }
    }

    /**
     * Checks that less important calls are refused first. A refusal for overload violates the order if calls of one
     * less important level kept being started at the same service: at least one in each half of
     * {@link #ORDER_TOLERANCE_MICROS} before the refusal, and one within half of that tolerance after it.
     */
    private void checkRefusalOrder() {
        Map<String, TreeMap<Integer, List<Long>>> starts = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.START) {
                starts.computeIfAbsent(serviceOf(event), service -> new TreeMap<>())
                        .computeIfAbsent(event.importance(), importance -> new ArrayList<>())
                        .add(event.atMicros());
            }
        }
        for (HistoryEvent event : events) {
            boolean refused = event.kind() == Kind.ANSWER
                    && "not-run".equals(event.outcome())
                    && "overload".equals(event.reason());
            if (refused && starts.containsKey(serviceOf(event))) {
                checkRefusal(event, starts.get(serviceOf(event)));
            }
        }
    }

    private void checkRefusal(HistoryEvent refusal, TreeMap<Integer, List<Long>> starts) {
        long half = ORDER_TOLERANCE_MICROS / 2;
        starts.headMap(refusal.importance()).forEach((lowerImportance, times) -> {
            boolean inEarlierHalf =
                    anyBetween(times, refusal.atMicros() - ORDER_TOLERANCE_MICROS, refusal.atMicros() - half);
            boolean inLaterHalf = anyBetween(times, refusal.atMicros() - half, refusal.atMicros());
            boolean afterwards = anyBetween(times, refusal.atMicros(), refusal.atMicros() + half);
            if (inEarlierHalf && inLaterHalf && afterwards) {
                addViolation(
                        "important work refused last",
                        refusal.path() + " of importance " + refusal.importance() + " was refused while importance "
                                + lowerImportance + " kept being started",
                        List.of(refusal));
            }
        });
    }

    /** Checks how many endpoints each root request crashed; each {@link Kind#POISON} event stands for one endpoint. */
    private void checkPoison() {
        for (Map.Entry<String, List<HistoryEvent>> entry :
                eventsByRoot(Kind.POISON).entrySet()) {
            int crashed = entry.getValue().size();
            if (crashed > MAX_CRASHES_PER_REQUEST) {
                addViolation(
                        "endpoints lost to one request",
                        "root " + entry.getKey() + " crashed " + crashed + " endpoints, the bound is "
                                + MAX_CRASHES_PER_REQUEST,
                        entry.getValue());
            }
        }
    }

    private static boolean anyBetween(List<Long> times, long from, long until) {
        int index = Collections.binarySearch(times, from);
        int first = index < 0 ? -index - 1 : index;
        return first < times.size() && times.get(first) < until;
    }

    private static String serviceOf(HistoryEvent event) {
        return event.operation().substring(0, event.operation().indexOf('/'));
    }

    private void addViolation(String promise, String explanation, List<HistoryEvent> trace) {
        List<HistoryEvent> shownTrace = trace.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atMicros))
                .limit(MAX_TRACE_EVENTS)
                .toList();
        violations.add(new Violation(promise, explanation, shownTrace));
    }

    private Verdict toVerdict(int maxRetries, int duplicateEffects, int foreign) {
        Map<String, HistoryEvent> last = new LinkedHashMap<>();
        for (HistoryEvent event : events) {
            boolean isRootEvent = event.path() != null && event.path().equals(event.root());
            if (event.kind() == Kind.INVOKE && isRootEvent) {
                last.putIfAbsent(event.root(), event);
            } else if (event.kind() == Kind.ANSWER && isRootEvent) {
                last.put(event.root(), event);
            }
        }
        Map<String, Integer> counts = new HashMap<>();
        for (HistoryEvent event : last.values()) {
            boolean whole = "complete".equals(event.outcome()) && event.intact();
            String outcome = event.outcome() == null ? "unknown" : event.outcome();
            counts.merge(whole ? "whole" : outcome, 1, Integer::sum);
        }
        return new Verdict(
                last.size(),
                counts.getOrDefault("whole", 0),
                counts.getOrDefault("not-run", 0),
                counts.getOrDefault("unknown", 0),
                counts.getOrDefault("failed", 0),
                counts.getOrDefault("duplicate", 0),
                duplicateEffects,
                foreign,
                maxRetries,
                List.copyOf(violations));
    }
}
