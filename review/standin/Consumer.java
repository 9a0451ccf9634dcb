import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests of a consumer on a machine, each on a new connection. Thread safe. */
final class Consumer {
    /** Result of a request whose answer did not arrive within its time limit and half a second. */
    static final int NO_ANSWER = 0;

    private static final AtomicInteger NEXT_ID = new AtomicInteger((int) (Math.random() * 1e8) * 10);

    private final Machine machine;
    private final Record record;

    Consumer(Machine machine, Record record) {
        this.machine = machine;
        this.record = record;
    }

    static String newId() {
        return String.format("%016x", 0x9c41d07be2000000L + NEXT_ID.incrementAndGet());
    }

    int get(String host, String path, long deadlineMillis) {
        return send("GET", host, path, 0, deadlineMillis);
    }

    /** Sends a request and returns the status of its complete answer, or {@link #NO_ANSWER}. */
    int send(String method, String host, String path, int bodyBytes, long deadlineMillis) {
        String id = newId();
        record.add("consumer on %s sends %s %s %s%s %d bytes", machine.name, id, method, host, path, bodyBytes);
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(Machine.socketAddress(machine.outbound), 1000);
            socket.setSoTimeout((int) deadlineMillis + 500);
            byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: " + deadlineMillis
                            + (bodyBytes > 0 ? "\r\nContent-Length: " + bodyBytes : "") + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(head);
            byte[] chunk = new byte[64 * 1024];
            for (int sent = 0; sent < bodyBytes; sent += chunk.length) {
                socket.getOutputStream().write(chunk, 0, Math.min(chunk.length, bodyBytes - sent));
            }
            socket.getOutputStream().flush();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) {
                record.add("consumer: %s closed without an answer after %d ms", id, millis(start));
                return NO_ANSWER;
            }
            Http.skipBody(in, answer.length());
            record.add("consumer: %s answered %d after %d ms", id, answer.status(), millis(start));
            return answer.status();
        } catch (SocketTimeoutException silent) {
            record.add("consumer: %s NO ANSWER %d ms after it was sent", id, millis(start));
            return NO_ANSWER;
        } catch (IOException failure) {
            record.add("consumer: %s failed after %d ms: %s", id, millis(start), failure.getMessage());
            return NO_ANSWER;
        }
    }

    private static long millis(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
