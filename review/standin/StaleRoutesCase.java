import java.util.ArrayList;
import java.util.List;

/**
 * The first machine by name is removed as planned, and the store does not respond for a moment. Later than the stable
 * window after that, the operator moves a route to another service.
 */
final class StaleRoutesCase extends Case {
    /** Bounds of the site file: config_apply and stable_window. */
    private static final long APPLY_MILLIS = 2_000;

    private static final long STABLE_MILLIS = 3_000;
    private static final long OUTAGE_MILLIS = 600;

    private long startNanos;

    public static void main(String[] arguments) throws Exception {
        run(new StaleRoutesCase(), arguments[0]);
    }

    private static String configuration(int version, String service, int timeoutMillis) {
        return configuration(
                version,
                service("planer") + "," + service("knjiga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", service, timeoutMillis));
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(7, "planer", 6000));
        String[] names = {"sidecar-zg-istok-1", "sidecar-zg-istok-2", "sidecar-zg-sjever-1", "sidecar-zg-zapad-1"};
        String[] services = {"knjiga", "planer", "knjiga", "planer"};
        List<Machine> machines = new ArrayList<>();
        for (int index = 0; index < names.length; index++) {
            machines.add(machine(names[index], names[index].substring(8, names[index].length() - 2), services[index]));
        }
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : machines) {
            machine.awaitReady();
            Worker worker = worker(machine, "i-" + machine.name.substring(11), System.currentTimeMillis(), 92, 50);
            worker.startBeating();
            workers.add(worker);
        }
        Worker.pause(5_000);
        // The worker of the first machine leaves; its machine follows after a planned change of a timeout.
        workers.get(0).drain();
        Worker.pause(2_500);
        workers.get(0).deregister();
        workers.get(0).close();
        startNanos = System.nanoTime();
        store.putConfiguration(configuration(8, "planer", 5000));
        record.add("operator: version 8 is confirmed");
        pauseUntil(200);
        machines.get(0).terminate();
        pauseUntil(3_200);
        if (trouble) {
            store.setSilent(true);
            record.add("the store does not respond");
        }
        Worker.pause(OUTAGE_MILLIS);
        store.setSilent(false);
        record.add("the store responds again");
        pauseUntil(3_200 + OUTAGE_MILLIS + STABLE_MILLIS - APPLY_MILLIS + 300);
        store.putConfiguration(configuration(9, "knjiga", 5000));
        record.add("operator: version 9, which moves the route from planer to knjiga, is confirmed");
        long confirmed = System.nanoTime();
        Worker.pause(APPLY_MILLIS + 100);
        int before = runs(workers, services, "planer");
        for (int index = 1; index < machines.size(); index++) {
            new Consumer(machines.get(index), record).send("POST", "jepu9.example", "/plan/2f", 400, 2_000);
        }
        int stale = runs(workers, services, "planer") - before;
        if (stale > 0) {
            record.add(
                    "CONFIG: %d of 3 requests, sent from %d ms after the confirmation of version 9, were run by planer",
                    stale, APPLY_MILLIS + 100);
        }
        record.add("checked until %d ms after the confirmation", (System.nanoTime() - confirmed) / 1_000_000);
        return stale > 0;
    }

    private static int runs(List<Worker> workers, String[] services, String service) {
        int runs = 0;
        for (int index = 0; index < services.length; index++) {
            runs += services[index].equals(service) ? workers.get(index).runs() : 0;
        }
        return runs;
    }

    private void pauseUntil(long millis) {
        Worker.pause(Math.max(0, millis - (System.nanoTime() - startNanos) / 1_000_000));
    }
}
