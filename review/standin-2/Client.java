import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A client on a machine: it sends each request on a new connection to the node of its machine. */
final class Client implements AutoCloseable {
    private final Deployment deployment;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /**
     * One request with its answer.
     *
     * @param id id of the request
     * @param status status of the answer, 0 if there was none
     * @param signed whether it bears a server's signature
     * @param sentNanos time of sending
     */
    record Result(String id, int status, boolean signed, long sentNanos) {
        boolean isServed() {
            return status >= 200 && status < 300 && signed;
        }
    }

    Client(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Sends a request and does not wait for its answer. */
    Future<Result> send(
            Deployment.Machine machine, String id, String method, String host, String path, int deadlineMillis, String body) {
        String fields = body.isEmpty() ? "" : "Content-Length: " + body.length();
        return sendWith(machine, id, method, host, path, deadlineMillis, fields, body);
    }

    /** Sends a request with header fields of its own, separated by line ends, and does not wait for its answer. */
    Future<Result> sendWith(
            Deployment.Machine machine,
            String id,
            String method,
            String host,
            String path,
            int deadlineMillis,
            String fields,
            String body) {
        return threads.submit(() -> {
            deployment.note("client on " + machine.name + " sends " + id + " " + method + " " + path);
            long sentNanos = System.nanoTime();
            Result result = exchange(machine, id, method, host, path, deadlineMillis, fields, body, sentNanos);
            deployment.note("client on " + machine.name + " gets " + (result.status() == 0 ? "no answer" : result.status())
                    + (result.signed() ? " signed" : "") + " for " + id + " " + method + " " + path);
            return result;
        });
    }

    private static Result exchange(
            Deployment.Machine machine,
            String id,
            String method,
            String host,
            String path,
            int deadlineMillis,
            String fields,
            String body,
            long sentNanos) {
        try (Deployment.Connection connection = new Deployment.Connection(machine.outbound())) {
            connection.send(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: " + deadlineMillis
                    + (fields.isEmpty() ? "" : "\r\n" + fields) + "\r\n\r\n" + body);
            Deployment.Answer answer = connection.receive(deadlineMillis + 500);
            return answer == null
                    ? new Result(id, 0, false, sentNanos)
                    : new Result(id, answer.status, answer.fields.containsKey("Response-Signature"), sentNanos);
        } catch (IOException failure) {
            return new Result(id, 0, false, sentNanos);
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
