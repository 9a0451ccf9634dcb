import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machine of the consumers is killed while a server of another machine runs their requests; the server goes on and
 * makes its calls. The deployment has tenants. Rule DENIED.
 */
final class OrphanedCallsCase extends Case {
    private static final String ORDERING = "ordering.example";
    private static final String CATALOGUE = "catalogue.example";
    private static final String KEY = "ruddedev3nax7u27gxpr";
    private static final int ORDERS = 60;
    private static final int ORDER_GAP_MILLIS = 100;
    private static final int KILL_AFTER_ORDERS = 40;
    private static final int WORK_MILLIS = 1_500;
    private static final int TIME_LIMIT_MILLIS = 5_000;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger failedRuns = new AtomicInteger();
    private Deployment deployment;
    private Deployment.Machine orderingMachine;

    public static void main(String[] arguments) {
        start(new OrphanedCallsCase(), arguments);
    }

    @Override
    boolean run(Deployment started) throws Exception {
        deployment = started;
        deployment.store.put(
                "keyed.op",
                "config",
                new Configuration()
                        .service("catalogue")
                        .service("ordering")
                        .tenant("pulo780", KEY)
                        .route("r-order", ORDERING, "/order/", "unsafe", 4_500, "ordering")
                        .route("r-title", CATALOGUE, "/title/", "safe", 2_000, "catalogue")
                        .build(1));
        Deployment.Machine consumers = deployment.machine("sidecar-bc-west-a-1", "bc-west-a", "catalogue");
        orderingMachine = deployment.machine("sidecar-bc-west-b-1", "bc-west-b", "ordering");
        Deployment.Machine catalogue = deployment.machine("sidecar-bc-west-c-1", "bc-west-c", "catalogue");
        List<Deployment.Machine> machines = List.of(consumers, orderingMachine, catalogue);
        for (Deployment.Machine machine : machines) {
            machine.start();
        }
        Worker.Application titles = (request, output) -> {
            Worker.answer(request, output, 200, new byte[200]);
            return true;
        };
        List<Worker> workers = List.of(
                new Worker(deployment, consumers, "i-catalogue-1", titles),
                new Worker(deployment, catalogue, "i-catalogue-2", titles),
                new Worker(deployment, orderingMachine, "i-ordering", this::order));
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(3_000);
        try (Client client = new Client(deployment)) {
            List<Future<Client.Result>> results = new ArrayList<>();
            for (int order = 0; order < ORDERS; order++) {
                if (trouble && order == KILL_AFTER_ORDERS) {
                    consumers.kill();
                }
                if (consumers.process.isAlive()) {
                    requests.incrementAndGet();
                    String fields = "Api-Key: " + KEY + "\r\nContent-Length: 8";
                    results.add(client.sendWith(
                            consumers, "order" + order, "POST", ORDERING, "/order/" + order, TIME_LIMIT_MILLIS, fields, "an order"));
                }
                Thread.sleep(ORDER_GAP_MILLIS);
            }
            for (Future<Client.Result> result : results) {
                result.get();
            }
            Thread.sleep(2_000);
        }
        for (Worker worker : workers) {
            worker.close();
        }
        int allowed = 5 + requests.get() / 500;
        deployment.note(requests + " requests and calls; " + runs + " orders run, " + failedRuns
                + " of them ended with 500 because their call was denied; calls ended with 401: " + denied + ", allowed "
                + allowed);
        return denied.get() <= allowed;
    }

    /** Works on an order and then makes one call through the node of its own machine, without a tenant's key. */
    private boolean order(Worker.Received request, OutputStream output) throws IOException, InterruptedException {
        runs.incrementAndGet();
        Thread.sleep(WORK_MILLIS);
        requests.incrementAndGet();
        int status = 0;
        String call = request.id() + ".1";
        deployment.note("server i-ordering sends its call " + call + " GET /title/" + request.id());
        try (Deployment.Connection connection = new Deployment.Connection(orderingMachine.outbound())) {
            connection.send("GET /title/" + request.id() + " HTTP/1.1\r\nHost: " + CATALOGUE + "\r\nAttempt-Id: " + call
                    + "\r\nDeadline-Ms: 2000\r\n\r\n");
            Deployment.Answer answer = connection.receive(2_500);
            status = answer == null ? 0 : answer.status;
        }
        deployment.note("server i-ordering gets " + status + " for its call " + call);
        if (status == 401) {
            denied.incrementAndGet();
            failedRuns.incrementAndGet();
        }
        Worker.answer(request, output, status == 200 ? 200 : 500, new byte[50]);
        return true;
    }
}
