import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A node gets SIGTERM while its clients send and receive large messages of legal size beside small ones. Rule LOST.
 */
final class LargeMessagesAtStopCase extends Case {
    private static final String HOST = "redazione.example";
    private static final int WORK_MILLIS = 1_500;
    private static final int UPLOAD_BYTES = 34_000_000;
    private static final int UPLOADS = 2;
    private static final int LIST_BYTES = 30_000;
    private static final int UPLOAD_MILLIS = 8_500;
    private static final int[] SMALLER_BYTES = {500_000, 120_000, 60_000, 20_000};
    private static final int SMALLER_MILLIS = 3_000;
    private static final int CHUNK_MILLIS = 25;
    private static final long GRACE_NANOS = 6_000_000_000L;

    /** Order that a server works on, by its id; the time at which the work began. */
    private final Map<String, Long> begun = new ConcurrentHashMap<>();

    private volatile boolean ended;

    private record Order(String id, int status, boolean signed, long answeredNanos) {}

    public static void main(String[] arguments) {
        start(new LargeMessagesAtStopCase(), arguments);
    }

    @Override
    boolean run(Deployment deployment) throws Exception {
        deployment.store.put(
                "keyed.op",
                "config",
                new Configuration()
                        .service("catalogo")
                        .service("redazione")
                        .route("r-order", HOST, "/order/", "unsafe", 4_000, "redazione")
                        .route("r-import", HOST, "/import/", "unsafe", 20_000, "redazione")
                        .route("r-list", HOST, "/list/", "safe", 4_000, "redazione")
                        .build(1));
        Deployment.Machine sender = deployment.machine("sidecar-pal-a-1", "pal-a", "catalogo");
        List<Deployment.Machine> machines = List.of(
                sender,
                deployment.machine("sidecar-pal-b-1", "pal-b", "redazione"),
                deployment.machine("sidecar-cat-a-1", "cat-a", "redazione"));
        for (Deployment.Machine machine : machines) {
            machine.start();
            new Worker(deployment, machine, "i-" + machine.name, this::serve);
        }
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(3_000);
        List<Order> orders = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        try (Client client = new Client(deployment)) {
            long startNanos = System.nanoTime();
            if (trouble) {
                for (int index = 0; index < UPLOADS; index++) {
                    int number = index;
                    clients.add(daemon(() -> upload(deployment, sender, "import-" + number, UPLOAD_BYTES, UPLOAD_MILLIS)));
                }
            }
            long termNanos = 0;
            for (int tick = 0; tick < 60; tick++) {
                int number = tick;
                clients.add(daemon(() -> order(deployment, sender, number, orders)));
                client.send(sender, "list-" + tick, "GET", HOST, "/list/" + tick, 3_000, "");
                if (trouble) {
                    for (int size : SMALLER_BYTES) {
                        String id = "import-" + tick + "-" + size;
                        clients.add(daemon(() -> upload(deployment, sender, id, size, SMALLER_MILLIS)));
                    }
                }
                if (tick == 40) {
                    sender.terminate();
                    termNanos = System.nanoTime();
                }
                long nextNanos = startNanos + (tick + 1) * 100_000_000L;
                Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
            }
            Thread.sleep(6_000);
            ended = true;
            return judge(deployment, orders, termNanos);
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private boolean serve(Worker.Received request, OutputStream output) throws IOException, InterruptedException {
        int length = 400;
        if (request.line.contains("/order/")) {
            begun.put(request.id(), System.nanoTime());
            Thread.sleep(WORK_MILLIS);
        } else if (request.line.contains("/list/")) {
            length = LIST_BYTES;
        }
        Worker.answer(request, output, 200, new byte[length]);
        return true;
    }

    /** Sends a body at a steady pace; ends early if the node has answered or closed the connection. */
    private void upload(Deployment deployment, Deployment.Machine sender, String id, int bytes, int millis) {
        deployment.note("client sends " + id + " POST /import/ with " + bytes + " bytes in " + millis + " ms");
        try (Deployment.Connection connection = new Deployment.Connection(sender.outbound())) {
            connection.send("POST /import/" + id + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 20000\r\nContent-Length: " + bytes + "\r\n\r\n");
            int chunks = millis / CHUNK_MILLIS;
            int sent = 0;
            for (int chunk = 1; chunk <= chunks && !ended && connection.socket.getInputStream().available() == 0; chunk++) {
                int next = (int) ((long) bytes * chunk / chunks);
                connection.socket.getOutputStream().write(new byte[next - sent]);
                sent = next;
                Thread.sleep(CHUNK_MILLIS);
            }
            Deployment.Answer answer = connection.receive(10_000);
            deployment.note("client gets " + (answer == null ? "no answer" : answer.status) + " for " + id);
        } catch (IOException | InterruptedException failure) {
            deployment.note("client's connection for " + id + " ended: " + failure.getMessage());
        }
    }

    private void order(Deployment deployment, Deployment.Machine sender, int number, List<Order> orders) {
        String id = "order-" + number;
        deployment.note("client sends " + id + " POST /order/" + number);
        Deployment.Answer answer = null;
        try (Deployment.Connection connection = new Deployment.Connection(sender.outbound())) {
            connection.send("POST /order/" + number + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 5000\r\nContent-Length: 8\r\n\r\nan order");
            answer = connection.receive(5_500);
        } catch (IOException failure) {
            deployment.note(id + ": " + failure.getMessage());
        }
        Order order = new Order(
                id,
                answer == null ? 0 : answer.status,
                answer != null && answer.fields.containsKey("Response-Signature"),
                System.nanoTime());
        deployment.note("client gets " + (answer == null ? "no answer" : order.status()) + (order.signed() ? " signed" : "")
                + " for " + id);
        synchronized (orders) {
            orders.add(order);
        }
    }

    /**
     * Counts the orders that were broken off while their server was at work: after the SIGTERM, and before the last sixth
     * of `grace`.
     */
    private boolean judge(Deployment deployment, List<Order> orders, long termNanos) {
        int during = 0;
        int before = 0;
        synchronized (orders) {
            for (Order order : orders) {
                Long begunNanos = begun.get(order.id());
                boolean atWork = begunNanos != null
                        && order.answeredNanos() - begunNanos < (WORK_MILLIS - 100) * 1_000_000L;
                if (!order.signed() && atWork) {
                    long sinceTerm = order.answeredNanos() - termNanos;
                    if (sinceTerm < 0) {
                        before++;
                    } else if (sinceTerm < GRACE_NANOS * 5 / 6) {
                        during++;
                        deployment.note("broken off: " + order.id() + " status " + order.status() + ", "
                                + (order.answeredNanos() - begunNanos) / 1_000_000 + " ms after its work began, "
                                + sinceTerm / 1_000_000 + " ms after SIGTERM");
                    }
                }
            }
            deployment.note(orders.size() + " orders; broken off while a server was at work: " + before
                    + " before SIGTERM, " + during + " after it and before the last sixth of grace");
        }
        return during == 0;
    }
}
