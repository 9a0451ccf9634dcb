package org.anvillatch.testbed.site;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.anvillatch.node.operator.CommandAnswer;
import org.anvillatch.testbed.endpoint.EndpointAgent;
import org.anvillatch.testbed.endpoint.EndpointStandIn;
import org.anvillatch.testbed.endpoint.NestedCallSender;
import org.anvillatch.testbed.endpoint.NodeNestedCallSender;
import org.anvillatch.testbed.history.History;
import org.anvillatch.testbed.load.HttpSender;
import org.anvillatch.testbed.platform.LogStandIn;
import org.anvillatch.testbed.proxy.FaultProxy;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * A running site. Every node is a separate process; the stand-in endpoints and, by default, the log service run in this
 * process. Not thread safe.
 */
public final class RunningSite implements AutoCloseable {
    /** Access key of operators who may change the configuration. */
    public static final String CHANGE_KEY = "testbed-change-key";

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_RANGE = 20_000;
    private static final int PORT_STRIDE = 997;
    private static final AtomicInteger NEXT_PORT_OFFSET = new AtomicInteger();
    private static final int PORTS_PER_NODE = 4;
    private static final int MAX_SEEDS = 3;
    private static final long AWAIT_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_PERIOD_MILLIS = 50;
    private static final int MAX_THREADS = 200;
    private static final int TIMER_THREADS = 4;
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 600;

    /**
     * Options of a running site.
     *
     * @param proxied whether hosts connect to each node through a fault-injecting proxy
     * @param directory directory for logs
     * @param nodeFlags further command line flags of every node
     * @param externalLogAddress address of a log service in another process, empty to start one in this process
     * @param directCalls sends nested calls if no nodes are to run, null to run nodes
     */
    public record Options(
            boolean proxied,
            Path directory,
            List<String> nodeFlags,
            String externalLogAddress,
            NestedCallSender directCalls) {
        /**
         * Returns options for nodes without proxies and further flags, and a log service in this process.
         *
         * @param directory directory for logs
         * @return the options
         */
        public static Options withoutProxies(Path directory) {
            return new Options(false, directory, List.of(), "", null);
        }
    }

    /**
     * A host with its node and its endpoint.
     *
     * @param name its name
     * @param domain its failure domain
     * @param node its node
     * @param endpoint its endpoint
     * @param agent announces the endpoint
     * @param proxy proxy in front of the node's peer port, null if there is none
     */
    public record Host(
            String name,
            String domain,
            NodeProcess node,
            EndpointStandIn endpoint,
            EndpointAgent agent,
            FaultProxy proxy) {}

    private final SiteSpec spec;
    private final Options options;
    private final History history = new History();
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("scheduler", true);
    private final ScheduledExecutorService timer;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private LogStandIn log;
    private HttpClient client;
    private HttpSender sender;
    private NodeNestedCallSender nodeNestedCalls;

    /**
     * Creates a site that does not run yet.
     *
     * @param spec specification of the site
     * @param options options
     */
    public RunningSite(SiteSpec spec, Options options) {
        this.spec = spec;
        this.options = options;
        this.timer = Executors.newScheduledThreadPool(TIMER_THREADS, task -> {
            Thread thread = new Thread(task, "testbed-timer");
            thread.setDaemon(true);
            return thread;
        });
        threads.setDaemon(true);
    }

    /**
     * Starts the site. If it runs nodes, also submits its configuration and waits until the site is ready.
     *
     * @throws Exception if a component cannot be started or the site does not become ready
     */
    public void start() throws Exception {
        Files.createDirectories(options.directory());
        threads.start();
        scheduler.start();
        client = new HttpClient();
        client.setExecutor(threads);
        client.start();
        if (options.externalLogAddress().isEmpty()) {
            log = new LogStandIn(0);
        }
        sender = new HttpSender(threads, scheduler, MAX_CONNECTIONS_PER_ADDRESS);
        nodeNestedCalls = new NodeNestedCallSender(sender);
        createHosts();
        if (options.directCalls() == null) {
            startNodes();
        }
    }

    private void startNodes() throws Exception {
        for (Host host : hosts.values()) {
            host.node().start();
        }
        for (Host host : hosts.values()) {
            host.agent().start();
        }
        submitConfiguration();
        awaitReady();
    }

    /**
     * Waits until every node reports that all endpoints are serving, that it knows all hosts and that it has a
     * configuration.
     *
     * @throws InterruptedException if the wait is interrupted
     * @throws IllegalStateException if a node has ended, or if the site is not ready before the timeout
     */
    public void awaitReady() throws InterruptedException {
        await("every node to know every endpoint", this::isReady);
    }

    private void createHosts() throws Exception {
        int count =
                spec.services().stream().mapToInt(ServiceSpec::endpointCount).sum();
        List<Integer> freePorts = freePorts(count * (PORTS_PER_NODE + 1));
        List<String> seeds = new ArrayList<>();
        int index = 0;
        for (ServiceSpec service : spec.services()) {
            for (int number = 0; number < service.endpointCount(); number++) {
                String domain = spec.domains().get(number % spec.domains().size());
                createHost(service, number, domain, freePorts.subList(index, index + PORTS_PER_NODE + 1), seeds);
                index += PORTS_PER_NODE + 1;
            }
        }
    }

    private void createHost(ServiceSpec service, int number, String domain, List<Integer> freePorts, List<String> seeds)
            throws Exception {
        String name = service.name() + "-" + number;
        NodeProcess.Ports ports =
                new NodeProcess.Ports(freePorts.get(0), freePorts.get(1), freePorts.get(2), freePorts.get(3));
        String peerIpAddress = domainIpAddress(domain);
        FaultProxy proxy = options.proxied()
                ? new FaultProxy(freePorts.get(4), new InetSocketAddress(peerIpAddress, ports.peer()))
                : null;
        String peerAddress = proxy == null ? peerIpAddress + ":" + ports.peer() : "127.0.0.1:" + proxy.port();
        if (seeds.size() < MAX_SEEDS) {
            seeds.add(peerAddress);
        }
        NodeProcess node = new NodeProcess(
                new NodeProcess.Settings(
                        name,
                        domain,
                        ports,
                        peerIpAddress,
                        proxy == null ? "" : peerAddress,
                        List.copyOf(seeds),
                        log == null ? options.externalLogAddress() : log.address(),
                        options.nodeFlags()),
                options.directory());
        EndpointStandIn endpoint = new EndpointStandIn(
                name,
                service,
                new EndpointStandIn.EndpointContext(
                        threads,
                        scheduler,
                        timer,
                        history,
                        options.directCalls() == null ? nodeNestedCalls : options.directCalls()));
        endpoint.start();
        nodeNestedCalls.setNodeAddress(name, node.endpointAddress());
        EndpointAgent agent = new EndpointAgent(endpoint, node.endpointAddress(), client, timer, history);
        hosts.put(name, new Host(name, domain, node, endpoint, agent, proxy));
    }

    /**
     * Returns the loopback address from which the hosts of a failure domain connect to other hosts.
     *
     * @param domain name of the failure domain
     * @return IP address
     */
    public String domainIpAddress(String domain) {
        return "127.0." + (spec.domains().indexOf(domain) + 1) + ".1";
    }

    /**
     * Finds free ports, below the range that the operating system uses for outgoing connections.
     *
     * @param count number of ports
     * @return ports that were free when checked
     * @throws IOException if there are not enough free ports
     */
    public static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        int start = (int) (ProcessHandle.current().pid() * PORT_STRIDE % PORT_RANGE);
        for (int attempts = 0; attempts < PORT_RANGE && ports.size() < count; attempts++) {
            int port = FIRST_PORT + (start + NEXT_PORT_OFFSET.getAndIncrement()) % PORT_RANGE;
            if (isFree(port)) {
                ports.add(port);
            }
        }
        if (ports.size() < count) {
            throw new IOException("only " + ports.size() + " of " + count + " ports are free");
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    private void submitConfiguration() throws IOException, InterruptedException {
        String address = hosts.values().iterator().next().node().operatorAddress();
        await("the site's configuration to be accepted", () -> {
            try {
                CommandAnswer answer = operatorClient().run(address, "testbed", spec.configurationScript());
                return answer.result() == CommandAnswer.Result.ACCEPTED;
            } catch (IOException notYet) {
                return false;
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return false;
            }
        });
    }

    private boolean isReady() {
        for (Host host : hosts.values()) {
            if (!host.node().isAlive()) {
                throw new IllegalStateException(
                        "node " + host.name() + " has ended; see its log in " + options.directory());
            }
            if (!hasFullView(host)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasFullView(Host host) {
        try {
            CommandAnswer answer = operatorClient().run(host.node().operatorAddress(), "testbed", "show hosts");
            List<List<String>> rows = answer.tables().get(0).rows();
            long serving = rows.stream().filter(row -> row.contains("serving")).count();
            boolean sameMembers =
                    rows.stream().allMatch(row -> row.get(row.size() - 1).equals(Integer.toString(hosts.size())));
            boolean phases = rows.stream().allMatch(row -> row.get(4).equals("serving"));
            boolean configured =
                    rows.stream().noneMatch(row -> row.get(row.size() - 2).equals("-1"));
            return serving == hosts.size() && sameMembers && phases && configured;
        } catch (IOException notYet) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Waits until a condition holds.
     *
     * @param what description of the condition, for the error message
     * @param condition the condition
     * @throws InterruptedException if the wait is interrupted
     * @throws IllegalStateException if the condition does not hold before the timeout
     */
    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new IllegalStateException(
                        "timed out after " + AWAIT_TIMEOUT_MILLIS / 1_000 + " s waiting for " + what);
            }
            Thread.sleep(POLL_PERIOD_MILLIS);
        }
    }

    /**
     * Delays peer traffic between different failure domains. The site must have proxies.
     *
     * @param oneWayMicros delay in each direction, in microseconds
     */
    public void setInterDomainLatency(long oneWayMicros) {
        for (Host host : hosts.values()) {
            String ownIpAddress = domainIpAddress(host.domain());
            host.proxy().setFault(FaultProxy.Fault.DELAY, oneWayMicros, source -> !source.equals(ownIpAddress));
        }
    }

    /**
     * Returns a client for operator requests to the nodes.
     *
     * @return a new client
     */
    public OperatorClient operatorClient() {
        return new OperatorClient(client);
    }

    /**
     * Returns the hosts.
     *
     * @return the hosts in order of creation
     */
    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * Finds a host.
     *
     * @param name name of the host
     * @return the host, or null if there is none of this name
     */
    public Host host(String name) {
        return hosts.get(name);
    }

    /**
     * Returns the history that endpoints and callers of this process record.
     *
     * @return the history
     */
    public History history() {
        return history;
    }

    /**
     * Returns the log service of this process.
     *
     * @return the log service, null if an external one is used
     */
    public LogStandIn log() {
        return log;
    }

    /**
     * Returns the HTTP sender of the callers.
     *
     * @return the sender
     */
    public HttpSender sender() {
        return sender;
    }

    /**
     * Returns the timer of callers and endpoints.
     *
     * @return the timer
     */
    public ScheduledExecutorService timer() {
        return timer;
    }

    /**
     * Returns the specification of the site.
     *
     * @return the specification
     */
    public SiteSpec spec() {
        return spec;
    }

    @Override
    public void close() throws Exception {
        for (Host host : hosts.values()) {
            host.agent().stop();
            host.node().destroy();
            if (host.proxy() != null) {
                host.proxy().close();
            }
        }
        timer.shutdownNow();
        for (Host host : hosts.values()) {
            host.endpoint().stop();
        }
        if (sender != null) {
            sender.close();
        }
        if (client != null) {
            client.stop();
        }
        if (log != null) {
            log.close();
        }
        threads.stop();
        scheduler.stop();
    }
}
