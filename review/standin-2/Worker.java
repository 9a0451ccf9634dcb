import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** An application server on a machine: it runs requests and reports itself to its node. */
final class Worker implements AutoCloseable {
    /** A request as the server has read it. */
    static final class Received {
        String line;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        Socket socket;

        String id() {
            return fields.get("Attempt-Id");
        }
    }

    /** Runs a request and writes the response. */
    interface Application {
        /** Returns false if the connection is to be closed. */
        boolean run(Received request, OutputStream output) throws IOException, InterruptedException;
    }

    final String id;
    final long born = System.currentTimeMillis();
    final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    volatile String state = "ready";
    volatile boolean reporting = true;
    private final Deployment deployment;
    private final Deployment.Machine machine;
    private final Application application;
    private final ServerSocket server;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean stopped;

    Worker(Deployment deployment, Deployment.Machine machine, String id, Application application) throws IOException {
        this.deployment = deployment;
        this.machine = machine;
        this.id = id;
        this.application = application;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(machine.app(), 512);
        start(this::acceptAll);
        start(this::reportAll);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!stopped) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (true) {
                String head = Deployment.Http.readHead(input);
                if (head == null) {
                    return;
                }
                Received request = new Received();
                request.line = head.substring(0, head.indexOf('\n'));
                request.socket = socket;
                Deployment.Http.parseFields(head, request.fields);
                String length = request.fields.get("Content-Length");
                request.body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
                String target = request.fields.get("Target-Instance");
                if (target != null && !target.equals(id)) {
                    socket.getOutputStream()
                            .write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                received.add(request);
                deployment.note("server " + id + " runs " + request.id() + " " + request.line + " caller="
                        + request.fields.get("Caller-Service") + " body=" + request.body.length);
                if (!application.run(request, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            deployment.note("server " + id + " lost a connection: " + ended.getMessage());
        }
    }

    /** Sends one check-in; returns the status, 0 if there is none. */
    int report() {
        String body = "{\"service\":\"" + machine.service + "\",\"address\":\"" + machine.app().getAddress().getHostAddress()
                + ":" + machine.app().getPort() + "\",\"zone\":\"" + machine.zone
                + "\",\"version\":\"v1\",\"slots\":50,\"state\":\"" + state
                + "\",\"warmup_left\":\"0ms\",\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}";
        return post("/instances/" + id + "/heartbeat", body);
    }

    int deregister() {
        return post("/instances/" + id + "/deregister", "{\"born\":" + born + "}");
    }

    private int post(String path, String body) {
        try (Deployment.Connection connection = new Deployment.Connection(machine.control())) {
            connection.send("POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
            Deployment.Answer answer = connection.receive(1_000);
            return answer == null ? 0 : answer.status;
        } catch (IOException unreachable) {
            return 0;
        }
    }

    private void reportAll() {
        int last = -1;
        while (!stopped) {
            if (reporting) {
                int status = report();
                if (status != last) {
                    deployment.note("server " + id + " check-in state=" + state + " status=" + status);
                    last = status;
                }
            }
            try {
                Thread.sleep(last == 200 ? 1_500 : 300);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /** Writes a complete, signed response. */
    static void answer(Received request, OutputStream output, int status, byte[] body) throws IOException {
        output.write(("HTTP/1.1 " + status + " Done\r\nAttempt-Id: " + request.id()
                        + "\r\nResponse-Signature: " + signature(request) + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
    }

    static String signature(Received request) {
        return "s-" + request.id();
    }

    /** Ends as a crash does: no further reports, the port is closed, all connections are reset. */
    void crash() throws IOException {
        stopped = true;
        server.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        server.close();
    }
}
