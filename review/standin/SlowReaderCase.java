import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The machine that took a request gets SIGTERM while the consumer reads the answer slowly. */
final class SlowReaderCase extends Case {
    private static final int RESPONSE_BYTES = 14 << 20;
    private static final int BYTES_PER_SECOND = 2_800_000;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final long TIMEOUT_MILLIS = 10_000;

    public static void main(String[] arguments) throws Exception {
        run(new SlowReaderCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(
                7,
                service("planer") + "," + service("knjiga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", "planer", (int) TIMEOUT_MILLIS)));
        Machine first = machine("sidecar-zg-istok-1", "zg-istok", "knjiga");
        Machine second = machine("sidecar-zg-zapad-1", "zg-zapad", "planer");
        first.awaitReady();
        second.awaitReady();
        long now = System.currentTimeMillis();
        worker(first, "i-7f3a91c2", now, 92, 50).startBeating();
        Worker planer = worker(second, "i-5d20aa17", now, 92, 50);
        planer.setResponseBytes(RESPONSE_BYTES);
        planer.startBeating();
        Worker.pause(3_500);
        AtomicInteger cut = new AtomicInteger();
        List<Thread> readers = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            readers.add(Worker.daemon(() -> read(first, cut)));
        }
        Worker.pause(500);
        if (trouble) {
            first.terminate();
        }
        for (Thread reader : readers) {
            reader.join();
        }
        return cut.get() > 0;
    }

    private void read(Machine machine, AtomicInteger cut) {
        String id = Consumer.newId();
        long start = System.nanoTime();
        long received = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(Machine.socketAddress(machine.outbound), 1000);
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /plan/2f HTTP/1.1\r\nHost: jepu9.example\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\nDeadline-Ms: "
                                    + TIMEOUT_MILLIS + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            record.add("consumer on %s sends %s POST jepu9.example/plan/2f", machine.name, id);
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            record.add("consumer: %s gets status %d and a body of %d bytes", id, head.status(), head.length());
            byte[] chunk = new byte[32 * 1024];
            while (received < head.length()) {
                int read = in.read(chunk);
                if (read < 0) {
                    throw new IOException("connection closed");
                }
                received += read;
                Worker.pause(Math.max(0, received * 1000 / BYTES_PER_SECOND - (System.nanoTime() - start) / 1_000_000));
            }
            record.add("consumer: %s complete after %d ms", id, (System.nanoTime() - start) / 1_000_000);
        } catch (IOException failure) {
            record.add(
                    "LOST: %s ended after %d ms with %d bytes of its answer: %s",
                    id, (System.nanoTime() - start) / 1_000_000, received, failure.getMessage());
            cut.incrementAndGet();
        }
    }
}
