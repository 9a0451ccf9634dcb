import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * All nodes are killed at the same moment and started again, in a deployment whose machines have been replaced often.
 * Rule RECOVER.
 */
final class ManyPastMachinesCase extends Case {
    private static final String[] SERVICES = {"catalogo", "dialetti", "fonetica", "redazione"};
    private static final String[] ZONES = {"cat-a", "mes-a", "pal-a", "pal-b"};
    private static final int PAST_PER_ZONE = 600;
    private static final long RECOVERY_MILLIS = 15_000;
    private static final long JUDGED_MILLIS = 20_000;
    private static final long CALM_MILLIS = 8_000;

    private final List<Deployment.Machine> machines = new ArrayList<>();
    private int nextId;

    public static void main(String[] arguments) {
        start(new ManyPastMachinesCase(), arguments);
    }

    @Override
    boolean run(Deployment deployment) throws Exception {
        Configuration configuration = new Configuration();
        for (String service : SERVICES) {
            configuration.service(service);
            configuration.route("r-" + service, service + ".example", "/" + service + "/", "safe", 1_500, service);
        }
        deployment.store.put("keyed.op", "config", configuration.build(1));
        List<Worker> workers = new ArrayList<>();
        for (int index = 0; index < 2 * SERVICES.length; index++) {
            String zone = ZONES[index % ZONES.length];
            String service = SERVICES[(index + index / ZONES.length) % SERVICES.length];
            String name = "sidecar-" + zone + "-" + (PAST_PER_ZONE + 1 + index / ZONES.length);
            machines.add(deployment.machine(name, zone, service));
        }
        for (Deployment.Machine machine : machines) {
            machine.start();
            workers.add(new Worker(deployment, machine, "i-" + machine.name, (request, output) -> {
                Thread.sleep(20);
                Worker.answer(request, output, 200, new byte[100]);
                return true;
            }));
        }
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(4_000);
        double before = servedShare(deployment, CALM_MILLIS, "before the kill");
        if (before < 0.25) {
            throw new Deployment.CannotRun("only " + before + " of the requests were served before the kill");
        }
        if (trouble) {
            // What the nodes of the machines that were replaced meanwhile have written when they started.
            for (int number = 1; number <= PAST_PER_ZONE; number++) {
                for (int zone = 0; zone < ZONES.length; zone++) {
                    String address = "127." + (2 + zone) + "." + number / 200 + "." + (1 + number % 200) + ":7620";
                    deployment.store.put("keyed.hosts", "sidecar-" + ZONES[zone] + "-" + number, address);
                }
            }
            deployment.note((PAST_PER_ZONE * ZONES.length) + " past machines in the directory");
        }
        for (Deployment.Machine machine : machines) {
            machine.process.destroyForcibly();
        }
        deployment.note("all nodes killed");
        for (Deployment.Machine machine : machines) {
            machine.process.waitFor();
        }
        Thread.sleep(1_000);
        for (Deployment.Machine machine : machines) {
            machine.start();
        }
        long backNanos = System.nanoTime();
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        deployment.note("all nodes ready");
        long waitedMillis = (System.nanoTime() - backNanos) / 1_000_000;
        Thread.sleep(Math.max(0, RECOVERY_MILLIS - waitedMillis));
        double after = servedShare(deployment, JUDGED_MILLIS, "later than 15 s after the machines are back");
        for (Worker worker : workers) {
            worker.close();
        }
        return after >= 0.25;
    }

    /** Sends 40 requests a second, from each machine to the services of other machines; returns the share served. */
    private double servedShare(Deployment deployment, long millis, String when) throws Exception {
        List<Future<Client.Result>> results = new ArrayList<>();
        int served = 0;
        try (Client client = new Client(deployment)) {
            long endNanos = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < endNanos) {
                Deployment.Machine machine = machines.get(nextId % machines.size());
                String service = SERVICES[nextId / machines.size() % SERVICES.length];
                if (!service.equals(machine.service)) {
                    String path = "/" + service + "/" + nextId;
                    results.add(client.send(machine, "a" + nextId, "GET", service + ".example", path, 3_000, ""));
                }
                nextId++;
                Thread.sleep(25);
            }
            for (Future<Client.Result> result : results) {
                served += result.get().isServed() ? 1 : 0;
            }
        }
        deployment.note(when + ": " + served + " of " + results.size() + " requests served");
        return served / (double) results.size();
    }
}
