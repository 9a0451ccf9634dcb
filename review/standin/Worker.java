import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One process of an application worker. Thread safe. */
class Worker implements AutoCloseable {
    final String id;
    final long born;
    private final Machine machine;
    private final Record record;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final int slots;
    private volatile long workMillis;
    private volatile int responseBytes = 400;
    private volatile boolean beating = true;
    private volatile boolean leaving;
    private volatile boolean ended;

    Worker(Machine machine, Record record, String id, long born, int slots, long workMillis) throws IOException {
        this.machine = machine;
        this.record = record;
        this.id = id;
        this.born = born;
        this.slots = slots;
        this.workMillis = workMillis;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(Machine.socketAddress(machine.endpoint), 1024);
        daemon(this::accept);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    void setWorkMillis(long millis) {
        workMillis = millis;
        record.add("worker %s works %d ms on a request from now on", id, millis);
    }

    void setResponseBytes(int bytes) {
        responseBytes = bytes;
    }

    int runs() {
        return runs.get();
    }

    int running() {
        return running.get();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            Http.Head head = Http.readHead(in);
            while (head != null) {
                Http.skipBody(in, head.length());
                respond(head, socket.getOutputStream());
                head = Http.readHead(in);
            }
        } catch (IOException | InterruptedException ended) {
            // The node closed the connection, or this process ends.
        } finally {
            sockets.remove(socket);
        }
    }

    private void respond(Http.Head head, OutputStream out) throws IOException, InterruptedException {
        String[] startLine = head.startLine().split(" ");
        String expected = head.field("target-instance");
        String attempt = head.field("attempt-id");
        if (expected != null && !expected.equals(id)) {
            record.add("worker %s answers 421 to %s, which expects %s", id, attempt, expected);
            write(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", 0);
            return;
        }
        record.add("worker %s born %d runs %s %s %s", id, born, attempt, startLine[0], startLine[1]);
        runs.incrementAndGet();
        running.incrementAndGet();
        Thread.sleep(workMillis);
        boolean called = call(attempt);
        running.decrementAndGet();
        String fields = "Attempt-Id: " + attempt + "\r\nResponse-Signature: signed-" + attempt + "\r\nKeep-Alive: timeout=10\r\n"
                + "Server-Load: " + running.get() + ",0," + slots + "\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
        write(out, called ? "200 OK" : "500 Internal Server Error", fields, responseBytes);
        record.add("worker %s has answered %s", id, attempt);
    }

    /** Makes the calls of a request; returns whether they succeeded. */
    boolean call(String parent) {
        return true;
    }

    private static void write(OutputStream out, String status, String fields, int length) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = java.util.Arrays.copyOf(head, head.length + length);
        java.util.Arrays.fill(bytes, head.length, bytes.length, (byte) 'x');
        out.write(bytes);
        out.flush();
    }

    /** Checks in every 1.5 s from now on. */
    void startBeating() {
        daemon(() -> {
            while (beating) {
                heartbeat(leaving ? "draining" : "ready", sequence.incrementAndGet(), 0);
                pause(1500);
            }
        });
    }

    void stopBeating() {
        beating = false;
    }

    int nextSequence() {
        return sequence.incrementAndGet();
    }

    /** Sends one check-in, which arrives after a delay. Returns the status, or 0 without an answer. */
    int heartbeat(String state, int number, long delayMillis) {
        String body = "{\"service\":\"" + machine.service + "\",\"address\":\"" + machine.endpoint
                + "\",\"zone\":\"zg-istok\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"warmup_left\":\"0ms\",\"sequence\":" + number + ",\"born\":" + born + "}";
        pause(delayMillis);
        int status = post("/heartbeat", body);
        record.add(
                "worker %s born %d check-in %s sequence %d%s -> %d",
                id, born, state, number, delayMillis == 0 ? "" : ", sent " + delayMillis + " ms before,", status);
        return status;
    }

    /** Reports that this worker drains; later check-ins repeat it. */
    int drain() {
        leaving = true;
        return heartbeat("draining", sequence.incrementAndGet(), 0);
    }

    int deregister() {
        leaving = true;
        int status = post("/deregister", "{\"born\":" + born + "}");
        record.add("worker %s born %d deregisters -> %d", id, born, status);
        return status;
    }

    private int post(String path, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(Machine.socketAddress(machine.control), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(("POST /instances/" + id + path + " HTTP/1.1\r\nHost: " + machine.control
                                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? 0 : head.status();
        } catch (IOException failure) {
            return 0;
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // Its own thread has closed it.
        }
    }

    /** Ends the process: its address refuses connections, and open ones are reset. */
    @Override
    public void close() throws IOException {
        beating = false;
        listener.close();
        for (Socket socket : sockets) {
            reset(socket);
        }
        if (!ended) {
            ended = true;
            record.add("worker %s born %d ended", id, born);
        }
    }
}
