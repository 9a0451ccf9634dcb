import java.util.ArrayList;
import java.util.List;

/**
 * A worker deregisters, its node confirms that and is killed and started again; then a check-in that the worker sent
 * before arrives late.
 */
final class RestartedNodeCase extends Case {
    /** Bounds of the site file: drain and stable_window. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long STABLE_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        run(new RestartedNodeCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(
                7,
                service("planer") + "," + service("knjiga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", "planer", 6000),
                route("r-book", "hulo84.example", "/book/", "safe", "knjiga", 6000)));
        Machine first = machine("sidecar-zg-istok-1", "zg-istok", "planer");
        Machine second = machine("sidecar-zg-zapad-1", "zg-zapad", "knjiga");
        first.awaitReady();
        second.awaitReady();
        long now = System.currentTimeMillis();
        Worker leaving = worker(first, "i-7f3a91c2", now, 92, 1_500);
        Worker other = worker(second, "i-5d20aa17", now, 92, 100);
        leaving.startBeating();
        other.startBeating();
        Worker.pause(3_000);
        Consumer consumer = new Consumer(second, record);
        if (consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000) != 200) {
            throw new IllegalStateException("the first request was not served");
        }
        // The check-in is under way when the worker leaves.
        leaving.stopBeating();
        int lateSequence = leaving.nextSequence();
        Thread lateCheckIn = Worker.daemon(() -> leaving.heartbeat("ready", lateSequence, 4_000));
        Worker.pause(100);
        if (leaving.deregister() != 200) {
            throw new IllegalStateException("the deregistration was not confirmed");
        }
        long confirmed = System.nanoTime();
        if (trouble) {
            Worker.pause(200);
            first.kill();
            Worker.pause(500);
            first.start();
            first.awaitReady();
        }
        lateCheckIn.join();
        // All machines have been in touch for the stable window when the requests are sent.
        Worker.pause(Math.max(0, DRAIN_MILLIS + STABLE_MILLIS - (System.nanoTime() - confirmed) / 1_000_000));
        double sinceConfirmation = (System.nanoTime() - confirmed) / 1e6;
        int before = leaving.runs();
        List<Thread> requests = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            requests.add(Worker.daemon(() -> consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000)));
        }
        // The worker served for the drain time and three seconds more; now it exits, as it has said.
        Worker.pause(800);
        leaving.close();
        for (Thread request : requests) {
            request.join();
        }
        int late = leaving.runs() - before;
        if (late > 0) {
            record.add(
                    "DRAIN: %d requests sent %.0f ms after the confirmation reached the worker; none was completed",
                    late, sinceConfirmation);
        }
        return late > 0;
    }
}
