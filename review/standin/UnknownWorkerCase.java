import java.util.ArrayList;
import java.util.List;

/** A new worker leaves at once; its deregistration is confirmed before its first check-in, which is late, arrives. */
final class UnknownWorkerCase extends Case {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long LATE_MILLIS = Long.getLong("late", 3_000);

    public static void main(String[] arguments) throws Exception {
        run(new UnknownWorkerCase(), arguments[0]);
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
        Worker old = worker(first, "i-02d9e6b4", System.currentTimeMillis(), 92, 1_500);
        old.startBeating();
        Worker.pause(3_500);
        Consumer consumer = new Consumer(second, record);
        if (consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000) != 200) {
            throw new IllegalStateException("the first request was not served");
        }
        // A planned replacement: the old worker leaves, the new one starts at the same address.
        old.stopBeating();
        if (old.deregister() != 200) {
            throw new IllegalStateException("the deregistration was not confirmed");
        }
        Worker.pause(DRAIN_MILLIS + 300);
        old.close();
        Worker.pause(500);
        Worker worker = worker(first, "i-7f3a91c2", System.currentTimeMillis(), 92, 1_500);
        int sequence = worker.nextSequence();
        Thread lateCheckIn = Worker.daemon(() -> worker.heartbeat("ready", sequence, trouble ? LATE_MILLIS : 0));
        Worker.pause(1_000);
        // The new worker is taken back: it leaves before its second check-in.
        if (worker.deregister() != 200) {
            throw new IllegalStateException("the deregistration was not confirmed");
        }
        long confirmed = System.nanoTime();
        lateCheckIn.join();
        Worker.pause(Math.max(0, DRAIN_MILLIS + 500 - (System.nanoTime() - confirmed) / 1_000_000));
        double sinceConfirmation = (System.nanoTime() - confirmed) / 1e6;
        List<Thread> requests = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            requests.add(Worker.daemon(() -> consumer.send("POST", "jepu9.example", "/plan/2f", 400, 6_000)));
        }
        // The worker served for the drain time and longer; now it exits, as it has said.
        Worker.pause(800);
        worker.close();
        for (Thread request : requests) {
            request.join();
        }
        if (worker.runs() > 0) {
            record.add(
                    "DRAIN: %d requests sent %.0f ms after the confirmation reached the worker; none was completed",
                    worker.runs(), sinceConfirmation);
        }
        return worker.runs() > 0;
    }
}
