package org.anvillatch.testbed.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Append-only history of the events of one process. Events are kept in memory and, if a file is given, also written to
 * it as JSON lines. Thread safe.
 */
public final class History implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MICRO = 1_000;

    private final List<HistoryEvent> events = new ArrayList<>();
    private final BufferedWriter writer;

    /** Creates a history that is kept in memory only. */
    public History() {
        writer = null;
    }

    /**
     * Creates a history that is also written to a file.
     *
     * @param file the file; an existing file is replaced
     * @throws IOException if the file cannot be written
     */
    public History(Path file) throws IOException {
        writer = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
    }

    /**
     * Returns the current time of the monotonic clock that all histories on this machine share.
     *
     * @return time in microseconds
     */
    public static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /**
     * Appends an event.
     *
     * @param event the event
     */
    public void add(HistoryEvent event) {
        synchronized (events) {
            events.add(event);
            if (writer != null) {
                write(event);
            }
        }
    }

    private void write(HistoryEvent event) {
        try {
            writer.write(MAPPER.writeValueAsString(event));
            writer.newLine();
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("cannot encode history event as JSON", failure);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write history file", failure);
        }
    }

    /**
     * Returns the events recorded so far.
     *
     * @return a copy in the order in which they were added
     */
    public List<HistoryEvent> events() {
        synchronized (events) {
            return List.copyOf(events);
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (events) {
            if (writer != null) {
                writer.close();
            }
        }
    }

    /**
     * Reads and merges the history files of several processes.
     *
     * @param files files of JSON lines; an incomplete last line, as left by a killed process, is skipped
     * @return all events, ordered by time
     * @throws IOException if a file cannot be read
     */
    public static List<HistoryEvent> read(List<Path> files) throws IOException {
        List<HistoryEvent> all = new ArrayList<>();
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
            for (int index = 0; index < lines.size(); index++) {
                boolean last = index == lines.size() - 1;
                if (!last || lines.get(index).endsWith("}")) {
                    all.add(MAPPER.readValue(lines.get(index), HistoryEvent.class));
                }
            }
        }
        all.sort(Comparator.comparingLong(HistoryEvent::atMicros));
        return all;
    }
}
