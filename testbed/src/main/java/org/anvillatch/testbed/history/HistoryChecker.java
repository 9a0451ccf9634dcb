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
 * Judges a history by what callers and endpoints saw; nothing that the system counts about itself is used. Not thread
 * safe: used once.
 */
public final class HistoryChecker {
    /** Time after an endpoint's notice in which work may still arrive, in microseconds ("within a few seconds"). */
    public static final long MAX_WORK_AFTER_LEAVE_MICROS = 2_000_000;

    /** Time that a refusal at one endpoint may take to be known at the others, in microseconds. */
    public static final long ORDER_TOLERANCE_MICROS = 500_000;

    /** Endpoints that one request may crash, whatever its caller repeats. */
    public static final int MAX_CRASHES_PER_REQUEST = 2;

    private static final int MAX_TRACE_EVENTS = 12;

    /**
     * One broken promise.
     *
     * @param promise which one
     * @param explanation what was seen
     * @param trace the events that show it, in order of time
     */
    public record Violation(String promise, String explanation, List<HistoryEvent> trace) {}

    /**
     * What a history holds.
     *
     * @param roots root requests
     * @param whole root requests with a complete and intact answer
     * @param refusedNotRun root requests whose last answer was "not run"
     * @param unknown root requests whose last answer was "unknown", or that have none
     * @param failed root requests whose last answer was "failed"
     * @param duplicates root requests whose last answer was "duplicate"
     * @param duplicateEffects effects that took place more than once, counted beyond the first
     * @param foreignAnswers answers that were not intact
     * @param maxRetriesPerRoot largest number of retries of one root request
     * @param violations broken promises
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
     * @param events events in any order
     * @param retryBound retries declared for one root request
     */
    public HistoryChecker(Collection<HistoryEvent> events, int retryBound) {
        this.events = events.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atMicros))
                .toList();
        this.retryBound = retryBound;
    }

    /**
     * Checks every rule.
     *
     * @return counts and broken promises
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

    /** A retry is a start, beyond the first, of the same call: the same parent execution and number, or the root. */
    private int checkRetries() {
        int most = 0;
        for (Map.Entry<String, List<HistoryEvent>> entry :
                eventsByRoot(Kind.START).entrySet()) {
            Set<String> paths = new HashSet<>();
            int retries = 0;
            for (HistoryEvent start : entry.getValue()) {
                retries += paths.add(start.path()) ? 0 : 1;
            }
            most = Math.max(most, retries);
            if (retries > retryBound) {
                addViolation(
                        "retries within the bound",
                        "root " + entry.getKey() + " caused " + retries + " retries, the bound is " + retryBound,
                        entry.getValue());
            }
        }
        return most;
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
                List<HistoryEvent> ran = starts.get(new Attempt(event.path(), event.attempt()));
                if (ran != null) {
                    List<HistoryEvent> trace = new ArrayList<>(ran);
                    trace.add(event);
                    addViolation("not run is true", event.path() + " was told not run but ran", trace);
                }
            }
        }
    }

    private void checkWorkAfterLeave() {
        Map<String, HistoryEvent> left = new HashMap<>();
        for (HistoryEvent event : events) {
            if (event.kind() == Kind.LEAVE) {
                left.put(event.place(), event);
            } else if (event.kind() == Kind.ANNOUNCE) {
                left.remove(event.place());
            } else if (event.kind() == Kind.START && left.containsKey(event.place())) {
                HistoryEvent notice = left.get(event.place());
                if (event.atMicros() - notice.atMicros() > MAX_WORK_AFTER_LEAVE_MICROS) {
                    addViolation(
                            "no new work after leaving",
                            "endpoint " + event.place() + " got work " + (event.atMicros() - notice.atMicros()) / 1_000
                                    + " ms after its notice",
                            List.of(notice, event));
                }
            }
        }
    }

    /**
     * An important call that is refused for overload contradicts the order if, for the whole tolerance before it, calls
     * of lesser importance kept being started for the same operation's service: one in each half of the tolerance.
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
        starts.headMap(refusal.importance()).forEach((lesser, times) -> {
            boolean before = anyBetween(times, refusal.atMicros() - ORDER_TOLERANCE_MICROS, refusal.atMicros() - half);
            boolean just = anyBetween(times, refusal.atMicros() - half, refusal.atMicros());
            boolean after = anyBetween(times, refusal.atMicros(), refusal.atMicros() + half);
            if (before && just && after) {
                addViolation(
                        "important work refused last",
                        refusal.path() + " of importance " + refusal.importance() + " was refused while importance "
                                + lesser + " kept being started",
                        List.of(refusal));
            }
        });
    }

    /** A request that crashes endpoints is recognised by its body; each of its starts loses one endpoint. */
    private void checkPoison() {
        for (Map.Entry<String, List<HistoryEvent>> entry :
                eventsByRoot(Kind.POISON).entrySet()) {
            int lost = entry.getValue().size();
            if (lost > MAX_CRASHES_PER_REQUEST) {
                addViolation(
                        "endpoints lost to one request",
                        "root " + entry.getKey() + " crashed " + lost + " endpoints, the bound is "
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
        List<HistoryEvent> shown = trace.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atMicros))
                .limit(MAX_TRACE_EVENTS)
                .toList();
        violations.add(new Violation(promise, explanation, shown));
    }

    private Verdict toVerdict(int maxRetries, int duplicateEffects, int foreign) {
        Map<String, HistoryEvent> last = new LinkedHashMap<>();
        for (HistoryEvent event : events) {
            boolean ofRoot = event.path() != null && event.path().equals(event.root());
            if (event.kind() == Kind.INVOKE && ofRoot) {
                last.putIfAbsent(event.root(), event);
            } else if (event.kind() == Kind.ANSWER && ofRoot) {
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
