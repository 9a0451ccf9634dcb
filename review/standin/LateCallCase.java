import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is stopped as planned while its worker runs requests that call another service late in the grace. */
final class LateCallCase extends Case {
    private static final long WORK_BEFORE_CALL_MILLIS = 4_300;
    private static final long CALL_WORK_MILLIS = 1_800;
    private static final long CALL_LIMIT_MILLIS = 3_000;
    private static final long ROOT_LIMIT_MILLIS = 9_000;

    private final AtomicInteger lost = new AtomicInteger();
    private volatile long terminatedNanos;

    public static void main(String[] arguments) throws Exception {
        run(new LateCallCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(
                7,
                service("planer") + "," + service("vaga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", "planer", (int) ROOT_LIMIT_MILLIS),
                route("r-scale", "hulo84.example", "/scale/", "safe", "vaga", (int) CALL_LIMIT_MILLIS)));
        Machine planerMachine = machine("sidecar-zg-istok-1", "zg-istok", "planer");
        Machine vagaMachine = machine("sidecar-zg-zapad-1", "zg-zapad", "vaga");
        planerMachine.awaitReady();
        vagaMachine.awaitReady();
        Worker planer = new CallingWorker(planerMachine);
        resources.push(planer);
        Worker vaga = worker(vagaMachine, "i-02d9e6b4", System.currentTimeMillis(), 44, CALL_WORK_MILLIS);
        planer.startBeating();
        vaga.startBeating();
        Worker.pause(3_500);
        Consumer consumer = new Consumer(vagaMachine, record);
        List<Thread> requests = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            requests.add(Worker.daemon(
                    () -> consumer.send("POST", "jepu9.example", "/plan/2f", 400, ROOT_LIMIT_MILLIS)));
        }
        Worker.pause(400);
        terminatedNanos = System.nanoTime();
        if (trouble) {
            planerMachine.terminate();
        }
        for (Thread request : requests) {
            request.join();
        }
        return lost.get() > 0;
    }

    /** A worker that works for a while, calls another service through its node, and then answers. */
    private final class CallingWorker extends Worker {
        private final Machine machine;

        CallingWorker(Machine machine) throws IOException {
            super(machine, LateCallCase.this.record, "i-7f3a91c2", System.currentTimeMillis(), 44, WORK_BEFORE_CALL_MILLIS);
            this.machine = machine;
        }

        @Override
        boolean call(String parent) {
            String id = parent + ".1";
            long sent = (System.nanoTime() - terminatedNanos) / 1_000_000;
            record.add("worker beside %s calls %s GET hulo84.example/scale/2f, %d ms after the SIGTERM", machine.name, id, sent);
            try (Socket socket = new Socket()) {
                socket.connect(Machine.socketAddress(machine.outbound), 1000);
                socket.setSoTimeout((int) CALL_LIMIT_MILLIS + 500);
                socket.getOutputStream()
                        .write(("GET /scale/2f HTTP/1.1\r\nHost: hulo84.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                                        + CALL_LIMIT_MILLIS + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Head answer = Http.readHead(in);
                if (answer == null) {
                    throw new IOException("the node closed the connection");
                }
                Http.skipBody(in, answer.length());
                record.add("call %s answered %d", id, answer.status());
                return answer.status() == 200;
            } catch (IOException failure) {
                record.add(
                        "LOST: call %s, sent %d ms after the SIGTERM, ended without an answer %d ms after it: %s",
                        id, sent, (System.nanoTime() - terminatedNanos) / 1_000_000, failure.getMessage());
                lost.incrementAndGet();
                return false;
            }
        }
    }
}
