package org.anvillatch.testbed.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.testbed.endpoint.ExpectedAnswer;
import org.anvillatch.testbed.endpoint.RootRequestIds;
import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.anvillatch.testbed.site.OperationSpec;
import org.anvillatch.testbed.site.SiteSpec;

/**
 * Open-loop callers: root requests arrive at random times that do not depend on earlier answers, and callers retry
 * failed requests. Thread safe.
 */
public final class Callers {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long KEY_TIMEOUT_MILLIS = 1_000;

    private record KeyResponse(List<String> keys) {}

    /**
     * Behaviour of the callers.
     *
     * @param runName name of the run, contained in every request's identity
     * @param seed random seed of the arrivals and of all random choices
     * @param maxRetries maximum number of retries of a caller for one request
     * @param retryPauseMillis mean pause before a retry, in milliseconds; the pause varies from half to one and a half
     *     of it
     * @param oneWayLatencyMicros simulated one-way latency between a caller and its node, in microseconds
     * @param callerKeyRatio fraction of requests whose idempotency key the caller creates itself, 0 to 1
     */
    public record Behaviour(
            String runName,
            long seed,
            int maxRetries,
            long retryPauseMillis,
            long oneWayLatencyMicros,
            double callerKeyRatio) {}

    /**
     * Result of one root request.
     *
     * @param kind its kind
     * @param importance its importance level, 0 for the least important
     * @param dueMicros scheduled time of arrival, in microseconds
     * @param endedMicros when the last answer arrived, in microseconds
     * @param outcome outcome of the last answer
     * @param whole whether the last answer was complete and intact
     * @param attempts number of attempts; 1 also if none was sent because no idempotency key could be fetched
     * @param firstAttemptMicros duration of the first attempt, in microseconds; 0 if none was sent
     */
    public record RequestResult(
            SiteSpec.RequestKind kind,
            int importance,
            long dueMicros,
            long endedMicros,
            String outcome,
            boolean whole,
            int attempts,
            long firstAttemptMicros) {}

    private final SiteSpec spec;
    private final HttpSender sender;
    private final CallTarget target;
    private final ScheduledExecutorService timer;
    private final History history;
    private final Behaviour behaviour;
    private final Consumer<RequestResult> listener;
    private final Phaser pendingRequests = new Phaser(1);
    private final AtomicLong nextNumber = new AtomicLong();

    /**
     * Creates callers.
     *
     * @param spec specification of the site
     * @param sender HTTP sender
     * @param target chooses where requests are sent
     * @param timer schedules retries and simulated latency
     * @param history records what the callers observe
     * @param behaviour behaviour of the callers
     * @param listener receives the result of every request
     */
    public Callers(
            SiteSpec spec,
            HttpSender sender,
            CallTarget target,
            ScheduledExecutorService timer,
            History history,
            Behaviour behaviour,
            Consumer<RequestResult> listener) {
        this.spec = spec;
        this.sender = sender;
        this.target = target;
        this.timer = timer;
        this.history = history;
        this.behaviour = behaviour;
        this.listener = listener;
    }

    /**
     * Sends requests for a given time and waits until all of them have ended.
     *
     * @param seconds how long requests arrive, in seconds
     * @param rate arrivals per second as a function of the elapsed seconds
     * @throws InterruptedException if the wait is interrupted
     */
    public void run(double seconds, DoubleUnaryOperator rate) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(behaviour.seed());
        long start = History.nowMicros();
        double atSeconds = 0;
        while (atSeconds < seconds) {
            atSeconds += -Math.log(1 - random.nextDouble()) / rate.applyAsDouble(atSeconds);
            long dueMicros = start + (long) (atSeconds * MICROS_PER_SECOND);
            sleepUntil(dueMicros);
            startRequest(kindAt(random.nextDouble()), dueMicros, random.split());
        }
        pendingRequests.arriveAndAwaitAdvance();
    }

    private static void sleepUntil(long dueMicros) throws InterruptedException {
        long remainingMicros = dueMicros - History.nowMicros();
        if (remainingMicros > 0) {
            TimeUnit.MICROSECONDS.sleep(remainingMicros);
        }
    }

    private SiteSpec.RequestKind kindAt(double draw) {
        double sum = 0;
        for (SiteSpec.RequestKind kind : spec.kinds()) {
            sum += kind.arrivalRatio();
            if (draw < sum) {
                return kind;
            }
        }
        return spec.kinds().get(spec.kinds().size() - 1);
    }

    private void startRequest(SiteSpec.RequestKind kind, long dueMicros, SplittableRandom random) {
        OperationSpec operation = spec.operation(kind.operation());
        int importance = spec.importances().indexOf(operation.importance());
        String id = RootRequestIds.create(importance, behaviour.runName(), nextNumber.incrementAndGet());
        send(new RootRequest(kind, operation, importance, id, id.getBytes(StandardCharsets.UTF_8), dueMicros, random));
    }

    /**
     * Sends one additional request with a given body.
     *
     * @param kind its kind
     * @param body the body
     * @param seed random seed of the choices for this request
     */
    public void sendOne(SiteSpec.RequestKind kind, byte[] body, long seed) {
        OperationSpec operation = spec.operation(kind.operation());
        int importance = spec.importances().indexOf(operation.importance());
        String id = RootRequestIds.create(importance, behaviour.runName(), nextNumber.incrementAndGet());
        send(new RootRequest(kind, operation, importance, id, body, History.nowMicros(), new SplittableRandom(seed)));
    }

    private void send(RootRequest root) {
        pendingRequests.register();
        if (root.operation.idempotent() || target.keyUrl(root.random) == null) {
            root.sendAttempt();
        } else if (root.random.nextDouble() < behaviour.callerKeyRatio()) {
            root.key = createKey(root.random);
            root.sendAttempt();
        } else {
            fetchKey(root);
        }
    }

    /** Creates an idempotency key in the form of a UUID of version 7. */
    private static String createKey(SplittableRandom random) {
        long time = System.currentTimeMillis();
        long high = time << 16 | 0x7000 | random.nextInt(0x1000);
        long low = random.nextLong() & 0x3FFF_FFFF_FFFF_FFFFL | Long.MIN_VALUE;
        return new UUID(high, low).toString();
    }

    /** Waits until every request has ended. */
    public void awaitEnd() {
        pendingRequests.arriveAndAwaitAdvance();
    }

    private void fetchKey(RootRequest root) {
        sender.post(target.keyUrl(root.random), Map.of(), new byte[0], KEY_TIMEOUT_MILLIS, answer -> {
            try {
                root.key = answer.status() == 201
                        ? MAPPER.readValue(answer.body(), KeyResponse.class)
                                .keys()
                                .get(0)
                        : "";
            } catch (IOException malformed) {
                root.key = "";
            }
            if (root.key.isEmpty()) {
                root.handleMissingKey();
            } else {
                root.sendAttempt();
            }
        });
    }

    /** A root request with its attempts. Its callbacks never run concurrently. */
    private final class RootRequest {
        private final SiteSpec.RequestKind kind;
        private final OperationSpec operation;
        private final int importance;
        private final String id;
        private final byte[] body;
        private final long dueMicros;
        private final SplittableRandom random;
        private String key = "";
        private int attempt;
        private int keyFetchRetries;
        private long firstAttemptMicros;

        private RootRequest(
                SiteSpec.RequestKind kind,
                OperationSpec operation,
                int importance,
                String id,
                byte[] body,
                long dueMicros,
                SplittableRandom random) {
            this.kind = kind;
            this.operation = operation;
            this.importance = importance;
            this.id = id;
            this.body = body;
            this.dueMicros = dueMicros;
            this.random = random;
        }

        private void handleMissingKey() {
            if (keyFetchRetries++ < behaviour.maxRetries()) {
                timer.schedule(() -> fetchKey(this), behaviour.retryPauseMillis(), TimeUnit.MILLISECONDS);
            } else {
                end("not-run", false);
            }
        }

        private void sendAttempt() {
            Map<String, String> headers = new HashMap<>();
            headers.put(CallHeaders.REQUEST_ID, id);
            headers.put(CallHeaders.ATTEMPT, Integer.toString(attempt));
            if (!key.isEmpty()) {
                headers.put(CallHeaders.IDEMPOTENCY_KEY, key);
            }
            record(Kind.INVOKE, null, null, true);
            long sentMicros = History.nowMicros();
            long timeout = operation.deadlineMillis() + operation.deadlineMillis() / 10;
            String url = target.url(kind.operation(), random);
            afterLatency(() -> sender.post(
                    url,
                    headers,
                    body,
                    timeout,
                    answer -> afterLatency(() -> {
                        if (attempt == 0) {
                            firstAttemptMicros = History.nowMicros() - sentMicros;
                        }
                        handleAnswer(answer);
                    })));
        }

        private void afterLatency(Runnable step) {
            if (behaviour.oneWayLatencyMicros() == 0) {
                step.run();
            } else {
                timer.schedule(step, behaviour.oneWayLatencyMicros(), TimeUnit.MICROSECONDS);
            }
        }

        private void handleAnswer(HttpSender.Answer answer) {
            boolean complete = answer.outcome().equals("complete");
            boolean intact = !complete || ExpectedAnswer.matches(kind.operation(), body, answer.body());
            record(Kind.ANSWER, answer.outcome(), answer.reason(), intact);
            if (!complete && attempt < behaviour.maxRetries() && mayRetry(answer)) {
                attempt++;
                long pauseMillis = behaviour.retryPauseMillis() / 2 + random.nextLong(behaviour.retryPauseMillis() + 1);
                timer.schedule(this::sendAttempt, pauseMillis, TimeUnit.MILLISECONDS);
            } else {
                end(answer.outcome(), complete && intact);
            }
        }

        private boolean mayRetry(HttpSender.Answer answer) {
            boolean canRepeat = !key.isEmpty() || operation.idempotent() || target.keyUrl(random) == null;
            boolean isFinal = answer.outcome().equals("duplicate") || "retry-budget".equals(answer.reason());
            return canRepeat && !isFinal;
        }

        private void end(String outcome, boolean whole) {
            listener.accept(new RequestResult(
                    kind, importance, dueMicros, History.nowMicros(), outcome, whole, attempt + 1, firstAttemptMicros));
            pendingRequests.arriveAndDeregister();
        }

        private void record(Kind eventKind, String outcome, String reason, boolean intact) {
            history.add(new HistoryEvent(
                    History.nowMicros(),
                    eventKind,
                    "caller",
                    id,
                    attempt,
                    id,
                    null,
                    kind.operation(),
                    importance,
                    outcome,
                    reason,
                    null,
                    intact));
        }
    }
}
