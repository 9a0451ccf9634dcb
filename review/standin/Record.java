import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, in the order of the events. Thread safe. */
final class Record {
    private final List<String> lines = new ArrayList<>();
    private final long startNanos = System.nanoTime();

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
        lines.add(line);
        System.out.println(line);
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
