package org.anvillatch.decision.rejection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.anvillatch.decision.model.OperationName;
import org.anvillatch.decision.model.Rank;
import org.anvillatch.decision.retry.RetryTokenBucket;

/**
 * Pure model of hosts that call one service whose endpoints all reject a fraction of their requests for 8 s. Requests
 * call it directly, or run at the endpoints of another service that makes several sequential calls for each. The platform
 * permits {@code 0.2 x first arrivals + 100} retries in 10 s, of which the hosts use 0.95 and 0.75.
 */
final class RejectionModel {
    static final long BEGIN = 3_000_000;
    static final long END = 11_000_000;
    static final int CALLED_HOSTS = 11;
    private static final int CALLING_HOSTS = 11;
    private static final int OTHER_HOSTS = 54;
    private static final long STOP = 15_000_000;
    private static final double BOUND_RATIO = 0.2;
    private static final double BOUND_SLACK = 100;
    private static final long BOUND_WINDOW = 10_000_000;
    private static final long DEADLINE = 2_000_000;
    private static final OperationName CALL = new OperationName("glossary", "map");

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private final List<RetryGrants> called = new ArrayList<>();
    private final List<DownstreamRejections> calling = new ArrayList<>();
    private final Map<Integer, RetryTokenBucket> buckets = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> held = new HashMap<>();
    private final Map<Load, Integer> offered = new HashMap<>();
    private final Map<Load, Integer> complete = new HashMap<>();
    private final List<Long> firsts = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();
    private final SplittableRandom random;
    private final Scenario scenario;
    private final boolean decides;
    private long now;
    private long nextNumber;
    private long lastRefusalMicros;

    /** A kind of request. */
    record Load(double perSecond, int calls, int importance, double worth) {}

    /** The rejected fraction, the maximum retries of a call and the requests. */
    record Scenario(double ratio, int maxRetries, List<Load> loads) {}

    private record Event(long atMicros, Runnable action) {}

    private final class Tree {
        private final Load load;
        private final int rank;
        private final int host;
        private final long arrivedMicros = now;
        private int completedCalls;
        private boolean chosen;

        private Tree(Load load, int rank, int host) {
            this.load = load;
            this.rank = rank;
            this.host = host;
        }

        private OperationName operation() {
            return new OperationName("catalogue", "list-" + load.calls());
        }
    }

    /** Creates a model; without the decisions, each host pays for the retries of its calls, as before. */
    RejectionModel(long seed, Scenario scenario, boolean decides) {
        this.random = new SplittableRandom(seed);
        this.scenario = scenario;
        this.decides = decides;
        for (int host = 0; host < CALLED_HOSTS; host++) {
            called.add(new RetryGrants(0.95 * BOUND_RATIO, () -> 0.75 * BOUND_SLACK / CALLED_HOSTS));
            called.get(host).recordScope(decides);
        }
        for (int host = 0; host < CALLING_HOSTS; host++) {
            calling.add(new DownstreamRejections());
        }
    }

    RejectionModel run() {
        scenario.loads().forEach(load -> at(gap(load), () -> arrive(load)));
        at(0, this::tick);
        while (now < STOP) {
            Event event = events.remove();
            now = event.atMicros();
            event.action().run();
        }
        return this;
    }

    private void at(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, action));
    }

    private void tick() {
        called.forEach(this::release);
        at(10_000, this::tick);
    }

    private long gap(Load load) {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e6 / load.perSecond());
    }

    private boolean isRejecting(long micros) {
        return micros >= BEGIN && micros < END;
    }

    private void arrive(Load load) {
        at(gap(load), () -> arrive(load));
        boolean direct = load.calls() == 1;
        int host = direct ? CALLING_HOSTS + random.nextInt(OTHER_HOSTS) : random.nextInt(CALLING_HOSTS);
        Tree tree = new Tree(load, Rank.of(load.importance(), "r" + nextNumber++), host);
        offered.merge(load, isRejecting(now) ? 1 : 0, Integer::sum);
        if (!direct) {
            DownstreamRejections.Admission admission = calling.get(host).admit(tree.operation(), tree.rank, now);
            if (admission == DownstreamRejections.Admission.REFUSED) {
                lastRefusalMicros = now;
                return;
            }
            tree.chosen = admission == DownstreamRejections.Admission.CHOSEN;
        }
        call(tree, CallStart.FIRST, 0);
    }

    private void call(Tree tree, CallStart start, int attempt) {
        RetryGrants gatekeeper = called.get(random.nextInt(CALLED_HOSTS));
        if (start == CallStart.FIRST) {
            firsts.add(now);
            bucket(tree).recordFirstAttempt();
        } else {
            retries.add(now);
        }
        gatekeeper.recordArrival(start, tree.rank, now);
        release(gatekeeper);
        boolean rejected = isRejecting(now) && random.nextDouble() < scenario.ratio();
        long duration = rejected ? 2_000 : 10_000 + random.nextInt(40_000);
        at(duration, () -> ended(tree, gatekeeper, rejected, attempt));
    }

    private void ended(Tree tree, RetryGrants gatekeeper, boolean rejected, int attempt) {
        if (!rejected) {
            gatekeeper.recordAccepted(now);
            report(tree, gatekeeper);
            completeCall(tree);
            return;
        }
        long number = nextNumber++;
        CallProgress progress = new CallProgress(CallStart.FIRST, tree.completedCalls, tree.chosen);
        long holdUntil = now + Math.max(0, tree.arrivedMicros + DEADLINE - now) / 2;
        boolean retryable = attempt < scenario.maxRetries();
        RejectedCall call = new RejectedCall(progress, tree.rank, retryable, holdUntil);
        if (gatekeeper.recordRejected(number, call, now)) {
            held.put(number, granted -> rejected(tree, gatekeeper, granted, attempt));
            release(gatekeeper);
        } else {
            rejected(tree, gatekeeper, false, attempt);
        }
    }

    private void release(RetryGrants gatekeeper) {
        for (RetryGrants.Release release : gatekeeper.release(now)) {
            at(0, () -> held.remove(release.execution()).accept(release.granted()));
        }
    }

    private void report(Tree tree, RetryGrants gatekeeper) {
        if (tree.host < CALLING_HOSTS) {
            ServiceRejection report =
                    new ServiceRejection(CALL.service(), gatekeeper.ratio(now), gatekeeper.level(), 1);
            calling.get(tree.host).recordReport(CALL, gatekeeper.isActive(now) ? List.of(report) : List.of(), now);
        }
    }

    private void rejected(Tree tree, RetryGrants gatekeeper, boolean granted, int attempt) {
        report(tree, gatekeeper);
        if (granted) {
            tree.chosen = true;
            call(tree, CallStart.GRANTED_RETRY, attempt + 1);
        } else if (attempt < scenario.maxRetries()
                && !gatekeeper.isActive(now)
                && bucket(tree).trySpend()) {
            call(tree, CallStart.RETRY, attempt + 1);
        }
    }

    private RetryTokenBucket bucket(Tree tree) {
        return buckets.computeIfAbsent(tree.host, host -> new RetryTokenBucket(0.5 * BOUND_RATIO, () -> 1, 1));
    }

    private void completeCall(Tree tree) {
        tree.completedCalls++;
        if (tree.completedCalls < tree.load.calls()) {
            call(tree, CallStart.FIRST, 0);
            return;
        }
        complete.merge(tree.load, isRejecting(tree.arrivedMicros) ? 1 : 0, Integer::sum);
        if (tree.host < CALLING_HOSTS) {
            calling.get(tree.host).recordExecution(tree.operation(), Map.of(CALL, tree.load.calls()));
        }
    }

    /** Returns the worth of what was served, as a fraction of that of all requests during the rejections. */
    double served() {
        double possible = 0;
        double served = 0;
        for (Load load : scenario.loads()) {
            possible += load.worth() * offered.get(load);
            served += load.worth() * complete.getOrDefault(load, 0);
        }
        return served / possible;
    }

    /** Returns how long after the end of the rejections the last root request was refused, in microseconds. */
    long refusedAfterEnd() {
        return lastRefusalMicros - END;
    }

    /** Returns the maximum number of retries beyond the bound in any window; negative if the bound was kept. */
    double excessOverBound() {
        double worst = Double.NEGATIVE_INFINITY;
        for (long from = 0; from < STOP; from += 250_000) {
            worst = Math.max(worst, count(retries, from) - BOUND_RATIO * count(firsts, from) - BOUND_SLACK);
        }
        return worst;
    }

    private static long count(List<Long> times, long from) {
        return times.stream()
                .filter(time -> time >= from && time < from + BOUND_WINDOW)
                .count();
    }

    /**
     * Returns the fraction of the worth that perfect knowledge achieves with the whole bound: for each kind of request,
     * the best fractions to run with all retries and to run without. Less important requests get retries only once all
     * more important ones do, and a request that would rather fail than complete is not run without retries.
     */
    double oracle() {
        double possible = scenario.loads().stream()
                .mapToDouble(load -> load.perSecond() * load.worth())
                .sum();
        return search(0, 0, 0, 0, true) / possible;
    }

    private double search(int index, double worth, double firstRate, double retryRate, boolean mayChoose) {
        if (index == scenario.loads().size()) {
            double seconds = (END - BEGIN) / 1e6;
            return retryRate <= BOUND_RATIO * firstRate + BOUND_SLACK / seconds ? worth : 0;
        }
        Load load = scenario.loads().get(index);
        double failed = Math.pow(scenario.ratio(), scenario.maxRetries() + 1);
        double retriesPerCall = (scenario.ratio() - failed) / (1 - scenario.ratio());
        double successWithout = Math.pow(1 - scenario.ratio(), load.calls());
        double best = 0;
        for (int percent = 0; percent <= (mayChoose ? 100 : 0); percent++) {
            double with = load.perSecond() * percent / 100;
            double without = successWithout >= 0.5 ? load.perSecond() - with : 0;
            double callsWith = with * meanCalls(1 - failed, load.calls());
            double callsWithout = without * meanCalls(1 - scenario.ratio(), load.calls());
            double gained = load.worth() * (with * Math.pow(1 - failed, load.calls()) + without * successWithout);
            best = Math.max(
                    best,
                    search(
                            index + 1,
                            worth + gained,
                            firstRate + callsWith + callsWithout,
                            retryRate + callsWith * retriesPerCall,
                            percent == 100));
        }
        return best;
    }

    /** Returns the mean number of calls up to the first one that fails. */
    private static double meanCalls(double success, int calls) {
        double sum = 0;
        for (int call = 0; call < calls; call++) {
            sum += Math.pow(success, call);
        }
        return sum;
    }
}
