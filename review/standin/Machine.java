import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One machine: addresses on loopback, and the node, started with the line of the deploy file. */
final class Machine implements AutoCloseable {
    final String name;
    final String service;
    final String endpoint;
    final String outbound;
    final String ready;
    final String control;
    private final Path settings;
    private final Path folder;
    private final Record record;
    private Process process;
    private int starts;
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    Machine(Path folder, Record record, String name, String zone, String service, String store) throws IOException {
        this.folder = folder;
        this.record = record;
        this.name = name;
        this.service = service;
        String ip = "127.0.0.1";
        endpoint = ip + ":" + freePort(ip);
        outbound = ip + ":" + freePort(ip);
        ready = ip + ":" + freePort(ip);
        control = ip + ":" + freePort(ip);
        settings = folder.resolve(name + ".json");
        // The names of deploy/settings.json; the figures are those of the site in claim.txt.
        Files.writeString(
                settings,
                "{\"host\":\"" + name + "\",\"domain\":\"" + zone + "\",\"service\":\"" + service
                        + "\",\"endpointAddress\":\"" + endpoint + "\",\"callerAddress\":\"" + outbound
                        + "\",\"readinessAddress\":\"" + ready + "\",\"heartbeatAddress\":\"" + control
                        + "\",\"peerAddress\":\"" + ip + ":" + freePort(ip) + "\",\"metricsAddress\":\"" + ip + ":"
                        + freePort(ip) + "\",\"storeAddress\":\"" + store
                        + "\",\"retryShare\":\"0.2\",\"retrySlack\":\"50\",\"stopTimeout\":\"6s\"}");
    }

    /** Finds a free port below the range from which the system takes the ports of outgoing connections; none twice. */
    static int freePort(String ip) throws IOException {
        while (true) {
            int port = 10_000 + (int) (Math.random() * 20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                if (USED_PORTS.add(port)) {
                    return port;
                }
            } catch (IOException taken) {
                // Try another one.
            }
        }
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no line run");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(runLine()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("ANVILLATCH_CONFIG", settings.toString());
        File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        record.add("node %s started", name);
    }

    Process process() {
        return process;
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** Sends SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        record.add("node %s killed with SIGKILL", name);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
        record.add("node %s sent SIGTERM", name);
    }

    /** Returns the status of the platform's readiness check, or 0 if there is none within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(ready), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(("GET /readiness HTTP/1.1\r\nHost: " + ready + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? 0 : head.status();
        } catch (IOException failure) {
            return 0;
        }
    }

    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (readiness() != 200) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("node " + name + " is not ready after 30 s");
            }
            Thread.sleep(50);
        }
        record.add("node %s ready", name);
    }

    /** Returns what the node has written since its latest start. */
    String log() throws IOException {
        return Files.readString(folder.resolve(name + "-" + starts + ".log"));
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
