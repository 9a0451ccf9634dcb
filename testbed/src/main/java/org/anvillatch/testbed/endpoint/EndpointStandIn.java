package org.anvillatch.testbed.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.anvillatch.node.endpoint.CallHeaders;
import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.history.HistoryEvent;
import org.anvillatch.testbed.history.HistoryEvent.Kind;
import org.anvillatch.testbed.load.HttpSender;
import org.anvillatch.testbed.site.OperationSpec;
import org.anvillatch.testbed.site.ServiceSpec;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Stand-in endpoint: runs a bounded number of executions at a time, queues further requests in order of arrival, makes
 * nested calls, records its executions, and can be slowed down or crashed. Thread safe.
 */
public final class EndpointStandIn {
    /** Prefix of a request body that crashes the endpoint that executes the request. */
    public static final String POISON_PREFIX = "poison";

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int NOT_FOUND = 404;
    private static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    private static final long MICROS_PER_MILLI = 1_000;

    private final String name;
    private final ServiceSpec service;
    private final EndpointContext context;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final AtomicLong nextExecutionNumber = new AtomicLong();
    private Server server;
    private ServerConnector connector;
    private int running;
    private int port;
    private volatile double slowdown = 1;
    private volatile long coldUntilMicros;
    private volatile boolean crashed;
    private volatile int startNumber;

    /**
     * Objects that the stand-in endpoints of one process share.
     *
     * @param threads thread pool of the HTTP servers
     * @param scheduler schedules HTTP timeouts
     * @param timer schedules the ends of service times
     * @param history records executions
     * @param nestedCalls sends nested calls
     */
    public record EndpointContext(
            QueuedThreadPool threads,
            Scheduler scheduler,
            ScheduledExecutorService timer,
            History history,
            NestedCallSender nestedCalls) {}

    private record Job(
            Request request,
            Response response,
            Callback callback,
            OperationSpec operation,
            byte[] body,
            long arrivedMicros) {}

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param name name of the endpoint, which is the name of its host
     * @param service its service
     * @param context objects that the endpoints share
     */
    public EndpointStandIn(String name, ServiceSpec service, EndpointContext context) {
        this.name = name;
        this.service = service;
        this.context = context;
    }

    /**
     * Starts to listen; after a crash on the same port as before.
     *
     * @throws Exception if it cannot listen
     */
    public synchronized void start() throws Exception {
        crashed = false;
        startNumber++;
        running = 0;
        queue.clear();
        server = new Server(context.threads(), context.scheduler(), null);
        connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new CallsHandler());
        server.start();
        port = connector.getLocalPort();
    }

    /** Closes all connections and stops listening without answering any request, like a killed process. */
    public void crash() {
        ServerConnector currentConnector;
        synchronized (this) {
            if (crashed) {
                return;
            }
            crashed = true;
            currentConnector = connector;
        }
        record(HistoryEvent.lifecycle(History.nowMicros(), Kind.CRASH, name, service.name()));
        currentConnector.close();
        currentConnector.getConnectedEndPoints().forEach(EndPoint::close);
        context.timer().execute(this::stopServer);
    }

    /** Stops listening. */
    public void stop() {
        stopServer();
    }

    private void stopServer() {
        Server current;
        synchronized (this) {
            current = server;
        }
        try {
            // Not under the lock: the server waits for its threads, and these may wait for the lock.
            current.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("endpoint " + name + " does not stop", failure);
        }
    }

    /**
     * Sets the slowdown.
     *
     * @param factor factor on service times
     */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /**
     * Quadruples service times for a while, as after a cold start.
     *
     * @param millis how long, in milliseconds
     */
    public void simulateColdStart(long millis) {
        coldUntilMicros = History.nowMicros() + millis * MICROS_PER_MILLI;
    }

    /**
     * Returns the name of the endpoint.
     *
     * @return the name of its host
     */
    public String name() {
        return name;
    }

    /**
     * Returns the service of the endpoint.
     *
     * @return its specification
     */
    public ServiceSpec service() {
        return service;
    }

    /**
     * Returns the address that the endpoint listens on.
     *
     * @return IP address and port
     */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /**
     * Returns whether the endpoint has crashed and has not been restarted.
     *
     * @return true after a crash
     */
    public boolean isCrashed() {
        return crashed;
    }

    /**
     * Returns whether the HTTP server has stopped completely, so that the port is free after a crash.
     *
     * @return true once it has stopped
     */
    public synchronized boolean isStopped() {
        return server.isStopped();
    }

    /**
     * Returns the number of running executions.
     *
     * @return at most the number of slots
     */
    public synchronized int running() {
        return running;
    }

    private void record(HistoryEvent event) {
        context.history().add(event);
    }

    private final class CallsHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            OperationSpec operation =
                    service.operation(Request.getPathInContext(request).substring(1));
            if (operation == null) {
                Response.writeError(request, response, callback, NOT_FOUND);
                return true;
            }
            Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    callback.failed(failure);
                } else {
                    offer(new Job(request, response, callback, operation, body, History.nowMicros()));
                }
            });
            return true;
        }
    }

    private void offer(Job job) {
        synchronized (this) {
            if (running + queue.size() >= service.maxConnections()) {
                context.timer().execute(() -> reject(job));
                return;
            }
            if (running >= service.slots()) {
                queue.add(job);
                return;
            }
            running++;
        }
        run(job);
    }

    private static void reject(Job job) {
        job.response().getHeaders().put(CallHeaders.CONTEXT, header(job, CallHeaders.CONTEXT, ""));
        job.response().getHeaders().put(CallHeaders.OUTCOME, CallHeaders.NOT_RUN);
        job.response().setStatus(SERVICE_UNAVAILABLE);
        job.callback().succeeded();
    }

    private void releaseSlot() {
        Job next;
        synchronized (this) {
            next = queue.poll();
            if (next == null) {
                running--;
                return;
            }
        }
        run(next);
    }

    private static String header(Job job, String header, String defaultValue) {
        String value = job.request().getHeaders().get(header);
        return value == null ? defaultValue : value;
    }

    private void run(Job job) {
        long now = History.nowMicros();
        long timeout = Long.parseLong(header(job, CallHeaders.TIMEOUT, "0"));
        if (timeout > 0 && now - job.arrivedMicros() > timeout * MICROS_PER_MILLI) {
            reject(job);
            releaseSlot();
            return;
        }
        String generatedId = name + "/" + nextExecutionNumber.incrementAndGet();
        Execution execution = new Execution(job, header(job, CallHeaders.CONTEXT, generatedId));
        execution.record(Kind.START, job.operation().idempotent() ? null : effectOf(job));
        if (new String(job.body(), StandardCharsets.UTF_8).startsWith(POISON_PREFIX)) {
            execution.record(Kind.POISON, null);
            crash();
            return;
        }
        boolean cold = now < coldUntilMicros;
        double factor = cold ? slowdown * 4 : slowdown;
        long delayMicros = (long) (job.operation().serviceTimeMillis() * MICROS_PER_MILLI * factor);
        context.timer().schedule(execution::startNestedCalls, delayMicros, TimeUnit.MICROSECONDS);
    }

    private String effectOf(Job job) {
        return service.name() + "/" + job.operation().name() + " " + new String(job.body(), StandardCharsets.UTF_8);
    }

    /** One execution: its own service time, then all nested calls in parallel, then the response. */
    private final class Execution {
        private final Job job;
        private final String id;
        private final String root;
        private final int attempt;
        private final AtomicInteger pendingNestedCalls;
        private final AtomicInteger failedNestedCalls = new AtomicInteger();
        private final int ownStartNumber = startNumber;

        private Execution(Job job, String id) {
            this.job = job;
            this.id = id;
            this.root = header(job, CallHeaders.REQUEST_ID, "none");
            this.attempt = Integer.parseInt(header(job, CallHeaders.ATTEMPT, "0"));
            this.pendingNestedCalls =
                    new AtomicInteger(job.operation().nestedCalls().size());
        }

        private void record(Kind kind, String effect) {
            EndpointStandIn.this.record(new HistoryEvent(
                    History.nowMicros(),
                    kind,
                    name,
                    root,
                    attempt,
                    header(job, CallHeaders.CALL_PATH, root),
                    id,
                    service.name() + "/" + job.operation().name(),
                    RootRequestIds.importanceOf(root),
                    null,
                    null,
                    effect,
                    true));
        }

        /**
         * Returns whether the endpoint has crashed since the start of the execution, even if it was restarted
         * meanwhile.
         */
        private boolean isAbandoned() {
            return crashed || ownStartNumber != startNumber;
        }

        private void startNestedCalls() {
            if (isAbandoned()) {
                return;
            }
            List<String> operations = job.operation().nestedCalls();
            if (operations.isEmpty()) {
                respond();
                return;
            }
            for (int number = 0; number < operations.size(); number++) {
                sendNestedCall(operations.get(number), number);
            }
        }

        private void sendNestedCall(String operation, int number) {
            String parentBody = new String(job.body(), StandardCharsets.UTF_8);
            byte[] body = (parentBody + "/" + number).getBytes(StandardCharsets.UTF_8);
            NestedCallSender.NestedCall call =
                    new NestedCallSender.NestedCall(EndpointStandIn.this, id, number, root, attempt, operation, body);
            context.nestedCalls().send(call, answer -> handleNestedAnswer(operation, number, body, answer));
        }

        private void handleNestedAnswer(String operation, int number, byte[] body, HttpSender.Answer answer) {
            boolean complete = answer.outcome().equals("complete");
            boolean intact = !complete || ExpectedAnswer.matches(operation, body, answer.body());
            EndpointStandIn.this.record(new HistoryEvent(
                    History.nowMicros(),
                    Kind.ANSWER,
                    name,
                    root,
                    attempt,
                    id + ":" + number,
                    null,
                    operation,
                    RootRequestIds.importanceOf(root),
                    answer.outcome(),
                    answer.reason(),
                    null,
                    intact));
            if (!complete) {
                failedNestedCalls.incrementAndGet();
            }
            if (pendingNestedCalls.decrementAndGet() == 0) {
                respond();
            }
        }

        private void respond() {
            if (isAbandoned()) {
                return;
            }
            record(Kind.END, null);
            String operation = service.name() + "/" + job.operation().name();
            job.response().getHeaders().put(CallHeaders.CONTEXT, id);
            if (failedNestedCalls.get() > 0) {
                job.response().setStatus(BAD_GATEWAY);
                job.callback().succeeded();
            } else {
                byte[] bytes = ExpectedAnswer.of(operation, job.body());
                job.response().getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
                job.response().write(true, ByteBuffer.wrap(bytes), job.callback());
            }
            releaseSlot();
        }
    }
}
