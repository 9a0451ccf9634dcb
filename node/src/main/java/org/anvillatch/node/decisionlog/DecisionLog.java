package org.anvillatch.node.decisionlog;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.anvillatch.node.Service;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one line for each decision on a thread of its own, and keeps the latest decisions in memory for operators.
 * Under load only a sample of the routine decisions is written.
 *
 * <p>Invariants: {@link #record} never waits for output; a line that is dropped because the queue is full is counted in
 * the metric {@code log.dropped}; at most {@link #MAX_REMEMBERED_DECISIONS} decisions are kept. Thread safe.
 */
public final class DecisionLog implements Service {
    /** Name of the logger that writes the lines. */
    public static final String LOGGER_NAME = "anvillatch.decision";

    /** Maximum number of decisions that are kept for operators. */
    public static final int MAX_REMEMBERED_DECISIONS = 4_000;

    private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);
    private static final Logger DECISION_LOGGER = LoggerFactory.getLogger(LOGGER_NAME);
    private static final int MAX_QUEUED_LINES = 4_096;
    private static final long STOP_TIMEOUT_MILLIS = 1_000;

    /** Time between two writes. Writing lines in batches saves a wake-up and a system call for each line. */
    private static final long BATCH_PERIOD_MILLIS = 250;

    /**
     * Maximum number of lines in a write: about the 4 KiB that a pipe accepts atomically, so that the lines of two
     * processes do not mix.
     */
    private static final int MAX_LINES_PER_WRITE = 16;

    /** Format of the lines. Immutable and thread safe. */
    public enum Format {
        /** Fields as {@code key=value}. */
        TEXT {
            @Override
            String formatLine(Decision decision) {
                return Instant.ofEpochMilli(decision.atMillis()) + " kind=" + decision.kind() + " request="
                        + decision.request() + " attempt="
                        + decision.attempt() + " operation=" + decision.operation() + " importance="
                        + decision.importance() + " candidate=" + decision.candidate() + " result="
                        + decision.result() + " reason=" + decision.reason() + " level=" + decision.level()
                        + " retriesLeft=" + decision.retriesLeft()
                        + (decision.team().isEmpty() ? "" : " team=" + decision.team());
            }
        },
        /** One JSON object for each line. */
        JSON {
            @Override
            String formatLine(Decision decision) {
                try {
                    return MAPPER.writeValueAsString(decision);
                } catch (JsonProcessingException impossible) {
                    throw new IllegalStateException("decision cannot be written as JSON", impossible);
                }
            }
        };

        private static final ObjectMapper MAPPER = new ObjectMapper();

        abstract String formatLine(Decision decision);
    }

    private final Format format;
    private final LineSampler sampler = new LineSampler();
    private final Counter dropped;
    private final Counter sampledOut;
    private final BlockingQueue<Decision> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Deque<Decision> recent = new ArrayDeque<>();
    private volatile boolean stopping;
    private Thread writer;

    /**
     * Creates the log.
     *
     * @param format format of the lines
     * @param metrics registry for the counters of lines that were not written
     */
    public DecisionLog(Format format, MetricRegistry metrics) {
        this.format = format;
        this.dropped = metrics.counter("log.dropped");
        this.sampledOut = metrics.counter("log.sampled_out");
    }

    @Override
    public void start() {
        writer = new Thread(this::writeBatches, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    private void writeBatches() {
        try {
            while (!stopping) {
                Decision first = queue.take();
                Thread.sleep(BATCH_PERIOD_MILLIS);
                writeBatch(first);
            }
        } catch (InterruptedException stop) {
            LOG.debug("stopping: writing the remaining decision lines");
        }
        Decision remaining = queue.poll();
        if (remaining != null) {
            writeBatch(remaining);
        }
    }

    private void writeBatch(Decision first) {
        List<Decision> batch = new ArrayList<>();
        batch.add(first);
        queue.drainTo(batch);
        for (int begin = 0; begin < batch.size(); begin += MAX_LINES_PER_WRITE) {
            List<Decision> chunk = batch.subList(begin, Math.min(batch.size(), begin + MAX_LINES_PER_WRITE));
            DECISION_LOGGER.info(
                    chunk.stream().map(format::formatLine).collect(Collectors.joining(System.lineSeparator())));
        }
    }

    @Override
    public void stop() {
        stopping = true;
        if (writer == null) {
            return;
        }
        writer.interrupt();
        try {
            writer.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (writer.isAlive()) {
            LOG.warn("{} decision lines were not written before the stop", queue.size());
        }
    }

    /**
     * Records a decision.
     *
     * @param decision the decision
     */
    public void record(Decision decision) {
        if (DECISION_LOGGER.isInfoEnabled() && sampler.shouldWrite(decision)) {
            if (!queue.offer(decision)) {
                dropped.inc();
            }
        } else {
            sampledOut.inc();
        }
        synchronized (recent) {
            recent.addLast(decision);
            if (recent.size() > MAX_REMEMBERED_DECISIONS) {
                recent.removeFirst();
            }
        }
    }

    /**
     * Returns the kept decisions about one request.
     *
     * @param request identifier of the root request
     * @return the decisions, oldest first
     */
    public List<Decision> decisionsOf(String request) {
        return select(decision -> decision.request().equals(request));
    }

    /**
     * Returns the kept decisions that refused a call.
     *
     * @return the decisions, oldest first
     */
    public List<Decision> refusals() {
        return select(decision ->
                decision.kind() == Decision.Kind.ADMIT && decision.result().equals("refuse")
                        || decision.kind() == Decision.Kind.ROUTE
                                && decision.candidate().isEmpty());
    }

    private List<Decision> select(Predicate<Decision> condition) {
        List<Decision> selected = new ArrayList<>();
        synchronized (recent) {
            for (Decision decision : recent) {
                if (condition.test(decision)) {
                    selected.add(decision);
                }
            }
        }
        return selected;
    }
}
