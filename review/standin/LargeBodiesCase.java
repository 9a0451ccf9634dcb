import java.util.ArrayList;
import java.util.List;

/** Consumers send bodies within the limit of the desired state while the worker that runs them is slow. */
final class LargeBodiesCase extends Case {
    private static final int BODY_BYTES = 8 << 20;
    private static final int UPLOADS = 40;
    private static final long UPLOAD_GAP_MILLIS = 200;
    private static final long WORK_MILLIS = 300;

    /** Largest figures of srv_slow in the days of the site file: 12 times as long, 9 s, 0.4 of the workers of a service. */
    private static final long SLOW_WORK_MILLIS = 12 * WORK_MILLIS;

    private static final int CHECKS = 6;
    private static final long TIMEOUT_MILLIS = 2_000;

    public static void main(String[] arguments) throws Exception {
        run(new LargeBodiesCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        store.putConfiguration(configuration(
                7,
                service("planer") + "," + service("knjiga") + "," + service("vaga"),
                route("r-plan", "jepu9.example", "/plan/", "unsafe", "planer", 6000),
                route("r-book", "hulo84.example", "/book/", "safe", "knjiga", (int) TIMEOUT_MILLIS)));
        // As at the site, planer has three workers, one in each zone; the consumers are in the zone of the slow one.
        Machine planerMachine = machine("sidecar-zg-istok-1", "zg-istok", "planer");
        Machine secondPlaner = machine("sidecar-zg-zapad-1", "zg-zapad", "planer");
        Machine thirdPlaner = machine("sidecar-zg-sjever-1", "zg-sjever", "planer");
        Machine knjigaMachine = machine("sidecar-zg-zapad-2", "zg-zapad", "knjiga");
        Machine vagaMachine = machine("sidecar-zg-istok-2", "zg-istok", "vaga");
        List<Machine> machines = List.of(planerMachine, secondPlaner, thirdPlaner, knjigaMachine, vagaMachine);
        for (Machine machine : machines) {
            machine.awaitReady();
        }
        long now = System.currentTimeMillis();
        Worker planer = worker(planerMachine, "i-7f3a91c2", now, 315, WORK_MILLIS);
        planer.startBeating();
        worker(secondPlaner, "i-1b66e0d4", now, 315, WORK_MILLIS).startBeating();
        worker(thirdPlaner, "i-c04482fe", now, 315, WORK_MILLIS).startBeating();
        worker(knjigaMachine, "i-5d20aa17", now, 237, 50).startBeating();
        worker(vagaMachine, "i-02d9e6b4", now, 44, 50).startBeating();
        Worker.pause(3_500);
        Consumer consumer = new Consumer(vagaMachine, record);
        if (trouble) {
            planer.setWorkMillis(SLOW_WORK_MILLIS);
        }
        List<Thread> uploads = new ArrayList<>();
        for (int index = 0; index < UPLOADS; index++) {
            uploads.add(Worker.daemon(() -> consumer.send("POST", "jepu9.example", "/plan/2f", BODY_BYTES, 6_000)));
            Worker.pause(UPLOAD_GAP_MILLIS);
        }
        if (trouble) {
            planer.setWorkMillis(WORK_MILLIS);
        }
        long end = System.nanoTime() + 8_000_000_000L;
        for (Thread upload : uploads) {
            upload.join(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        // The disruption is over for longer than the stable window, and no large body is under way.
        Worker.pause(5_000);
        boolean broken = false;
        for (Machine machine : machines) {
            int unanswered = 0;
            for (int index = 0; index < CHECKS; index++) {
                if (new Consumer(machine, record).get("hulo84.example", "/book/2f", TIMEOUT_MILLIS) == Consumer.NO_ANSWER) {
                    unanswered++;
                }
            }
            record.add(
                    "node %s: %d of %d requests without an answer half a second after the route's timeout;"
                            + " process runs: %s, readiness %d",
                    machine.name, unanswered, CHECKS, machine.isRunning(), machine.readiness());
            broken |= unanswered * 2 > CHECKS;
        }
        return broken;
    }
}
