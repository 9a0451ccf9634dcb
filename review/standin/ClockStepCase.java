import java.util.ArrayList;
import java.util.List;

/**
 * The time of day of a machine jumps ahead and back; its worker crashes meanwhile and starts again under its id. Later
 * the worker leaves as planned.
 */
final class ClockStepCase extends Case {
    private static final long DRAIN_MILLIS = 2_000;

    /** Figures of clock_step in the troubles of the site file: the time of day is ahead by 2.4 s for at most 6 s. */
    private static final long STEP_MILLIS = 2_400;

    private static final String ID = "i-7f3a91c2";

    public static void main(String[] arguments) throws Exception {
        run(new ClockStepCase(), arguments[0]);
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
        Worker other = worker(second, "i-5d20aa17", System.currentTimeMillis(), 92, 100);
        other.startBeating();
        // The clock of the first machine is ahead when its worker starts, and is right again when it starts once more.
        long step = trouble ? STEP_MILLIS : 0;
        record.add("the time of day of %s is %d ms ahead", first.name, step);
        Worker before = worker(first, ID, System.currentTimeMillis() + step, 92, 1_500);
        before.startBeating();
        Worker.pause(1_000);
        before.close();
        record.add("the time of day of %s is right", first.name);
        Worker.pause(500);
        Worker worker = worker(first, ID, System.currentTimeMillis(), 92, 1_500);
        worker.startBeating();
        Worker.pause(6_000);
        Consumer consumer = new Consumer(second, record);
        if (consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000) != 200) {
            throw new IllegalStateException("the first request was not served");
        }
        if (worker.drain() != 200) {
            throw new IllegalStateException("the check-in was not confirmed");
        }
        long confirmed = System.nanoTime();
        Worker.pause(DRAIN_MILLIS + 500);
        double sinceConfirmation = (System.nanoTime() - confirmed) / 1e6;
        int runsBefore = worker.runs();
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
        int late = worker.runs() - runsBefore;
        if (late > 0) {
            record.add(
                    "DRAIN: %d requests sent %.0f ms after the confirmation reached the worker; none was completed",
                    late, sinceConfirmation);
        }
        return late > 0;
    }
}
