import java.util.ArrayList;
import java.util.List;

/** A worker crashes and starts again under its id; since it is taken away as planned, its first check-in says draining. */
final class SameIdCase extends Case {
    /** Bound of the site file. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final String ID = "i-7f3a91c2";

    public static void main(String[] arguments) throws Exception {
        run(new SameIdCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(
                7,
                service("planer") + "," + service("knjiga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", "planer", 6000)));
        Machine first = machine("sidecar-zg-istok-1", "zg-istok", "planer");
        Machine second = machine("sidecar-zg-istok-2", "zg-istok", "knjiga");
        Machine third = machine("sidecar-zg-zapad-1", "zg-zapad", "planer");
        Machine fourth = machine("sidecar-zg-sjever-1", "zg-sjever", "planer");
        Worker worker = null;
        for (Machine machine : List.of(first, second, third, fourth)) {
            machine.awaitReady();
            String id = machine == first ? ID : "i-of-" + machine.name;
            Worker started = worker(machine, id, System.currentTimeMillis(), 92, 1_500);
            started.startBeating();
            worker = machine == first ? started : worker;
        }
        Worker.pause(5_000);
        if (trouble) {
            worker.close();
            record.add("worker %s crashed", ID);
            Worker.pause(500);
            worker = worker(first, ID, System.currentTimeMillis(), 92, 1_500);
        }
        if (worker.drain() != 200) {
            throw new IllegalStateException("the check-in was not confirmed");
        }
        long confirmed = System.nanoTime();
        if (trouble) {
            worker.startBeating();
        }
        Worker.pause(DRAIN_MILLIS + 500);
        double sinceConfirmation = (System.nanoTime() - confirmed) / 1e6;
        int before = worker.runs();
        Consumer consumer = new Consumer(second, record);
        List<Thread> requests = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            requests.add(Worker.daemon(() -> consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000)));
        }
        // The worker served for the drain time and longer; now it exits, as it has said.
        Worker.pause(800);
        worker.deregister();
        worker.close();
        for (Thread request : requests) {
            request.join();
        }
        int late = worker.runs() - before;
        if (late > 0) {
            record.add(
                    "DRAIN: %d requests sent %.0f ms after the confirmation reached the worker; none was completed",
                    late, sinceConfirmation);
        }
        return late > 0;
    }
}
