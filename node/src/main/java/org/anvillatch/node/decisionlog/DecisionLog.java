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
 * Writes one line for each decision on its own thread and remembers the latest decisions for operators.
 *
 * <p>Invariants: a caller of {@link #record} never waits for output; a line that is not written is counted in the
 * metric {@code log.dropped}; at most {@link #MAX_REMEMBERED_DECISIONS} decisions are kept. Thread safe.
 */
public final class DecisionLog implements Service {
    /** Name of the logger that writes the lines. */
    public static final String LOGGER_NAME = "anvillatch.decision";

    /** Number of decisions that are kept for operators. */
    public static final int MAX_REMEMBERED_DECISIONS = 4_000;

    private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);
    private static final Logger LINES = LoggerFactory.getLogger(LOGGER_NAME);
    private static final int QUEUE_LENGTH = 4_096;
    private static final long STOP_MILLIS = 1_000;

    /** Time between two writes; one write for many lines spares a wake-up and a system call a line. */
    private static final long BATCH_MILLIS = 250;

    /** Lines of one write: what a pipe takes in one piece, 4 KiB, so that lines of two processes don't mix. */
    private static final int LINES_PER_WRITE = 16;

    /** Form of the lines. Immutable and thread safe. */
    public enum Format {
        /** Fields as {@code key=value}. */
        TEXT {
            @Override
            String line(Decision decision) {
                return Instant.ofEpochMilli(decision.atMillis()) + " kind=" + decision.kind() + " request="
                        + decision.request() + " attempt="
                        + decision.attempt() + " operation=" + decision.operation() + " importance="
                        + decision.importance() + " candidate=" + decision.candidate() + " result="
                        + decision.result() + " reason=" + decision.reason() + " level=" + decision.level()
                        + " retriesLeft=" + decision.retriesLeft();
            }
        },
        /** One JSON object a line. */
        JSON {
            @Override
            String line(Decision decision) {
                try {
                    return MAPPER.writeValueAsString(decision);
                } catch (JsonProcessingException impossible) {
                    throw new IllegalStateException("decision cannot be written as JSON", impossible);
                }
            }
        };

        private static final ObjectMapper MAPPER = new ObjectMapper();

        abstract String line(Decision decision);
    }

    private final Format format;
    private final LineSampler sampler = new LineSampler();
    private final Counter dropped;
    private final Counter sampledOut;
    private final BlockingQueue<Decision> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
    private final Deque<Decision> remembered = new ArrayDeque<>();
    private volatile boolean stopping;
    private Thread writer;

    /**
     * Creates the log.
     *
     * @param format form of the lines
     * @param metrics registry for the count of dropped lines
     */
    public DecisionLog(Format format, MetricRegistry metrics) {
        this.format = format;
        this.dropped = metrics.counter("log.dropped");
        this.sampledOut = metrics.counter("log.sampled_out");
    }

    @Override
    public void start() {
        writer = new Thread(this::write, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    private void write() {
        try {
            while (!stopping) {
                Decision first = queue.take();
                Thread.sleep(BATCH_MILLIS);
                writeBatch(first);
            }
        } catch (InterruptedException stop) {
            LOG.debug("writing what is left");
        }
        Decision left = queue.poll();
        if (left != null) {
            writeBatch(left);
        }
    }

    private void writeBatch(Decision first) {
        List<Decision> batch = new ArrayList<>();
        batch.add(first);
        queue.drainTo(batch);
        for (int begin = 0; begin < batch.size(); begin += LINES_PER_WRITE) {
            List<Decision> part = batch.subList(begin, Math.min(batch.size(), begin + LINES_PER_WRITE));
            LINES.info(part.stream().map(format::line).collect(Collectors.joining(System.lineSeparator())));
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
            writer.join(STOP_MILLIS);
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
        if (LINES.isInfoEnabled() && sampler.keeps(decision)) {
            if (!queue.offer(decision)) {
                dropped.inc();
            }
        } else {
            sampledOut.inc();
        }
        synchronized (remembered) {
            remembered.addLast(decision);
            if (remembered.size() > MAX_REMEMBERED_DECISIONS) {
                remembered.removeFirst();
            }
        }
    }

    /**
     * Returns the remembered decisions about one request.
     *
     * @param request identity of the root request
     * @return oldest first
     */
    public List<Decision> decisionsOf(String request) {
        return select(decision -> decision.request().equals(request));
    }

    /**
     * Returns the remembered answers that were refusals.
     *
     * @return oldest first
     */
    public List<Decision> refusals() {
        return select(decision ->
                decision.kind() == Decision.Kind.ADMIT && decision.result().equals("refuse")
                        || decision.kind() == Decision.Kind.ROUTE
                                && decision.candidate().isEmpty());
    }

    private List<Decision> select(Predicate<Decision> condition) {
        List<Decision> selected = new ArrayList<>();
        synchronized (remembered) {
            for (Decision decision : remembered) {
                if (condition.test(decision)) {
                    selected.add(decision);
                }
            }
        }
        return selected;
    }
}
