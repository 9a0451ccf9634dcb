import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A case of the review. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With the
 * environment variable TROUBLE=0 the disruption is left out.
 */
abstract class Case {
    final Record record = new Record();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Deque<AutoCloseable> resources = new ArrayDeque<>();
    Path folder;
    Store store;

    /** Plays the case and returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    static void run(Case played, String caseFolder) throws Exception {
        int status = 2;
        Thread watchdog = Worker.daemon(() -> {
            Worker.pause(115_000);
            System.out.println("the case takes too long");
            played.closeAll();
            Runtime.getRuntime().halt(2);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(played::closeAll));
        try {
            played.folder = Files.createTempDirectory("review");
            played.store = new Store("127.0.0.1");
            played.resources.push(played.store);
            status = played.play() ? 1 : 0;
            played.record.add("%s: the rule was %s", played.trouble ? "TROUBLE=1" : "TROUBLE=0", status == 1 ? "BROKEN" : "kept");
        } catch (Exception failure) {
            played.record.add("the case could not run: %s", failure);
            failure.printStackTrace(System.out);
        } finally {
            watchdog.setName("done");
            played.closeAll();
            played.record.write(Path.of(caseFolder).resolve("record.txt"));
            if (System.getenv("KEEP") == null) {
                try (var files = Files.walk(played.folder)) {
                    files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            } else {
                System.out.println("logs in " + played.folder);
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private synchronized void closeAll() {
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception failure) {
                System.out.println("not ended cleanly: " + failure);
            }
        }
    }

    Machine machine(String name, String zone, String service) throws Exception {
        Machine machine = new Machine(folder, record, name, zone, service, store.address());
        resources.push(machine);
        machine.start();
        return machine;
    }

    Worker worker(Machine machine, String id, long born, int slots, long workMillis) throws Exception {
        Worker worker = new Worker(machine, record, id, born, slots, workMillis);
        resources.push(worker);
        record.add("worker %s born %d started beside node %s", id, born, machine.name);
        return worker;
    }

    static String route(String name, String host, String prefix, String kind, String service, int timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout\":\"" + timeoutMillis
                + "ms\",\"target_latency\":\"1500ms\",\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2}";
    }

    /** A desired state with the limits that the command {@code fleetbench wire} prints. */
    static String configuration(int version, String services, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":652,\"protocol\":\"h1\",\"tls\":false}";
    }
}
