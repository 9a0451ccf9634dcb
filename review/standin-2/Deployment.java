import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: a store, nodes started with the run line of the deploy file, servers and
 * clients. Each machine has a loopback address of its own and the same ports. Closing it ends all processes.
 */
final class Deployment implements AutoCloseable {
    private static final int FIRST_PORT = 21_000;
    private static final int OUTBOUND = 4;
    private static final int READY = 2;
    private static final int CONTROL = 6;
    private static final int APP = 1;
    private static final int PEER = 20;

    final Store store;
    private final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final String network;
    private final int port;
    private final List<Machine> machines = new CopyOnWriteArrayList<>();

    /** One machine: its addresses and the process of its node. */
    final class Machine {
        final String name;
        final String zone;
        final String service;
        final String ip;
        Process process;

        private Machine(String name, String zone, String service, String ip) {
            this.name = name;
            this.zone = zone;
            this.service = service;
            this.ip = ip;
        }

        InetSocketAddress outbound() {
            return new InetSocketAddress(ip, port + OUTBOUND);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, port + READY);
        }

        InetSocketAddress control() {
            return new InetSocketAddress(ip, port + CONTROL);
        }

        InetSocketAddress app() {
            return new InetSocketAddress(ip, port + APP);
        }

        /** Starts the node with the run line of the deploy file. */
        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings(this));
            ProcessBuilder builder = new ProcessBuilder(runLine());
            builder.directory(Path.of("").toAbsolutePath().toFile());
            builder.environment().put("ANVILLATCH_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            note("node " + name + " started");
        }

        /** Sends SIGTERM. */
        void terminate() {
            note("SIGTERM to node " + name);
            process.destroy();
        }

        void kill() throws InterruptedException {
            note("kill of node " + name);
            process.destroyForcibly().waitFor();
        }

        boolean isReady() {
            try (Connection connection = new Connection(ready())) {
                connection.send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
                Answer answer = connection.receive(1_000);
                return answer != null && answer.status == 200;
            } catch (IOException unreachable) {
                return false;
            }
        }

        /** Waits until the node is ready; throws {@link CannotRun} after 30 seconds. */
        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (!isReady()) {
                if (System.nanoTime() > end || process != null && !process.isAlive()) {
                    throw new CannotRun("node " + name + " is not ready");
                }
                Thread.sleep(100);
            }
        }
    }

    /** The case could not run; the exit status is then 2. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    Deployment(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(new BufferedWriter(Files.newBufferedWriter(recordFile)), true);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        port = FIRST_PORT + random.nextInt(100) * 50;
        store = new Store(network + "200", port + 9, this);
        // Also if the script is ended by its time limit.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
    }

    Machine machine(String name, String zone, String service) {
        Machine machine = new Machine(name, zone, service, network + (10 + machines.size()));
        machines.add(machine);
        return machine;
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new CannotRun("no run line in deploy/system.toml");
    }

    /** Fills in the template of the deploy file as the platform does. */
    private String settings(Machine machine) throws IOException {
        Map<String, String> values = new TreeMap<>();
        values.put("node", machine.name);
        values.put("zone", machine.zone);
        values.put("service", machine.service);
        values.put("app_addr", machine.ip + ":" + (port + APP));
        values.put("listen.outbound", machine.ip + ":" + (port + OUTBOUND));
        values.put("listen.ready", machine.ip + ":" + (port + READY));
        values.put("listen.control", machine.ip + ":" + (port + CONTROL));
        values.put("ip", machine.ip);
        values.put("internal_ports.0", Integer.toString(port + PEER));
        values.put("platform.address", network + "200:" + (port + 9));
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.retry_budget_slack", "47");
        values.put("bounds.grace", "6s");
        String text = Files.readString(Path.of("deploy/settings.json"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    /** Prints the last lines of a node's log. */
    String log(Machine machine) throws IOException {
        return Files.readString(folder.resolve(machine.name + ".log"));
    }

    private void killNodes() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killNodes();
        store.close();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } else {
            System.out.println(folder);
        }
    }

    /** A response as it was read. */
    static final class Answer {
        int status;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        @Override
        public String toString() {
            return status + " " + fields + " " + body.length + " bytes";
        }
    }

    /** A client's connection. Reads one response at a time. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream input;

        Connection(InetSocketAddress address) throws IOException {
            socket.connect(address, 1_000);
            socket.setTcpNoDelay(true);
            input = socket.getInputStream();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads a response; null if the connection ends or nothing arrives in time. */
        Answer receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            try {
                String head = Http.readHead(input);
                if (head == null) {
                    return null;
                }
                Answer answer = new Answer();
                answer.status = Integer.parseInt(head.split(" ")[1]);
                Http.parseFields(head, answer.fields);
                String length = answer.fields.get("Content-Length");
                if (length != null) {
                    answer.body = input.readNBytes(Integer.parseInt(length));
                    if (answer.body.length < Integer.parseInt(length)) {
                        return null;
                    }
                }
                return answer;
            } catch (SocketTimeoutException late) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Helpers for HTTP/1.1. */
    static final class Http {
        private Http() {}

        /** Reads a head with its lines separated by a line feed; null at the end of the stream. */
        static String readHead(InputStream input) throws IOException {
            StringBuilder text = new StringBuilder();
            int next = input.read();
            while (next >= 0) {
                if (next != '\r') {
                    text.append((char) next);
                }
                int length = text.length();
                if (length >= 2 && text.charAt(length - 1) == '\n' && text.charAt(length - 2) == '\n') {
                    return text.toString();
                }
                next = input.read();
            }
            return null;
        }

        static void parseFields(String head, Map<String, String> fields) {
            String[] lines = head.split("\n");
            for (int index = 1; index < lines.length; index++) {
                int colon = lines[index].indexOf(':');
                if (colon > 0) {
                    fields.put(lines[index].substring(0, colon), lines[index].substring(colon + 1).strip());
                }
            }
        }
    }
}
