import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that runs it and comes again every six seconds, at a service with few requests. Rule
 * BUDGET.
 */
final class RareCrashCase extends Case {
    private static final String HOST = "redazione.example";
    private static final int CYCLES = 10;
    private static final long CYCLE_MILLIS = 6_000;
    private static final long DOWN_MILLIS = 3_000;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int ALLOWED_RETRIES = 3;

    private final AtomicInteger starts = new AtomicInteger();
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        start(new RareCrashCase(), arguments);
    }

    @Override
    boolean run(Deployment deployment) throws Exception {
        deployment.store.put(
                "keyed.op",
                "config",
                new Configuration()
                        .service("catalogo")
                        .service("redazione")
                        .route("r-push", HOST, "/push/", "unsafe", 4_000, "redazione")
                        .build(1));
        Deployment.Machine sender = deployment.machine("sidecar-pal-a-1", "pal-a", "catalogo");
        List<Deployment.Machine> machines = new ArrayList<>();
        machines.add(deployment.machine("sidecar-pal-a-2", "pal-a", "redazione"));
        machines.add(deployment.machine("sidecar-pal-b-1", "pal-b", "redazione"));
        sender.start();
        Worker senderWorker = new Worker(deployment, sender, "i-sender", (request, output) -> {
            Worker.answer(request, output, 200, new byte[0]);
            return true;
        });
        for (Deployment.Machine machine : machines) {
            machine.start();
            startServer(deployment, machine);
        }
        sender.awaitReady();
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(3_000);
        int lost = 0;
        try (Client client = new Client(deployment)) {
            for (int cycle = 0; cycle < CYCLES; cycle++) {
                long cycleNanos = System.nanoTime();
                List<Future<Client.Result>> orders = new ArrayList<>();
                for (int order = 0; order < 2; order++) {
                    String id = "order-" + cycle + "-" + order;
                    orders.add(client.send(sender, id, "POST", HOST, "/push/" + id, 5_000, "an order"));
                    Thread.sleep(50);
                }
                Thread.sleep(900);
                client.send(sender, "repeated-" + cycle, "POST", HOST, "/push/repeated", 5_000, "always the same").get();
                for (Future<Client.Result> order : orders) {
                    lost += order.get().isServed() ? 0 : 1;
                }
                Thread.sleep(Math.max(0, CYCLE_MILLIS - (System.nanoTime() - cycleNanos) / 1_000_000));
            }
        }
        ended = true;
        senderWorker.close();
        return judge(deployment, lost);
    }

    private synchronized boolean judge(Deployment deployment, int lost) {
        int late = 0;
        if (crashes.size() >= 3) {
            for (long arrival : arrivals) {
                late += arrival - crashes.get(2) > STABLE_WINDOW_NANOS ? 1 : 0;
            }
        }
        deployment.note("the request reached servers " + arrivals.size() + " times and crashed " + crashes.size()
                + "; later than 3 s after the third crash it reached servers " + late + " times; orders without success: "
                + lost + " of " + 2 * CYCLES);
        return late <= ALLOWED_RETRIES;
    }

    private void startServer(Deployment deployment, Deployment.Machine machine) throws Exception {
        Worker[] self = new Worker[1];
        self[0] = new Worker(deployment, machine, "i-" + starts.incrementAndGet(), (request, output) -> {
            if (request.line.contains("/push/repeated")) {
                synchronized (this) {
                    arrivals.add(System.nanoTime());
                }
                if (trouble) {
                    crash(deployment, machine, self[0]);
                    return false;
                }
            } else {
                Thread.sleep(2_000);
            }
            Worker.answer(request, output, 200, new byte[10]);
            return true;
        });
    }

    /** Ends the server; the next one starts some seconds later, with another id. */
    private void crash(Deployment deployment, Deployment.Machine machine, Worker worker) throws java.io.IOException {
        synchronized (this) {
            crashes.add(System.nanoTime());
        }
        deployment.note("server " + worker.id + " crashes");
        worker.crash();
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(DOWN_MILLIS);
                if (!ended) {
                    startServer(deployment, machine);
                }
            } catch (Exception failure) {
                deployment.note("server not started again: " + failure);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }
}
